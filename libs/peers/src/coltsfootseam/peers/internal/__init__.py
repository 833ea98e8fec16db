"""Generated code and the conversion of messages."""
