"""Generated gRPC code and the conversion of its messages."""
