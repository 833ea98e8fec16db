"""Quick tests of decision logic, without processes."""
