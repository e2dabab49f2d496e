"""Decide which models are held where."""
