"""Which owner of a pool may grant leases to workers, and until when."""
