"""Decide what backend servers load, and order it from one instance at a time."""
