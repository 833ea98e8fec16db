"""The demo, benchmarks and fault matrix."""
