"""Replay recorded traffic and compare policies."""
