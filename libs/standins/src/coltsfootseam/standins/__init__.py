"""Stand-ins for the platform, endpoints and networks around the system.

``python -m coltsfootseam.standins`` runs one of them as a process whose faults
are set over HTTP. These share no code with the system, so that their tallies
don't depend on the code under test. The ``memory_*`` modules run within a test
or model instead and implement the interfaces of the system's libraries.
"""
