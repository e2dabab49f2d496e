"""Carry HTTP messages between callers, this process and backend servers."""
