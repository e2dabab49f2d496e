"""Decide where a request goes, when it is resent, what is refused."""
