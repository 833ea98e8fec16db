"""Demo and measurements."""
