"""Fast tests of decision logic that start no processes."""
