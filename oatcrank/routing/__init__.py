"""Decide where a request goes, whether it is sent again, and what is refused."""
