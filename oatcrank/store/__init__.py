"""Clients of the key-value service, weight store and instance list."""
