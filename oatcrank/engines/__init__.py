"""Speak to backend servers."""
