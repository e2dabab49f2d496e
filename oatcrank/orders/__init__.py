"""Decide what servers load, and order it from one instance at a time."""
