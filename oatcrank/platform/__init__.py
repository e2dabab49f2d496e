"""Integration with the users' platform: its store, headers and workers."""
