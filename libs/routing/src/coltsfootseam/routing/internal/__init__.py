"""Ways of dispatch and the machinery of the relay."""
