"""Serve many bursty models from fewer accelerators."""

__version__ = '0.1.0'
