"""Which host holds which duty, and how it is found."""
