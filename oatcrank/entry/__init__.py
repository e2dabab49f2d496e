"""Receive callers' requests and dispatch them to backend servers."""
