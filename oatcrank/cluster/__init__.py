"""Coordinate instances by a shared store and messages between peers."""
