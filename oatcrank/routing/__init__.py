"""Routing, server selection, admission control and retry limits."""
