"""Stand-ins for what the system meets: platform, endpoints and networks.

Each runs as a process of its own (``python -m coltsfootseam.standins``) and
takes faults over HTTP. They share no code with the system, so that what they
count does not depend on what they watch.
"""
