"""Hold and check what an instance is set to."""
