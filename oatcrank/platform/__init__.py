"""Translate for the users' platform; nothing else knows its names."""
