"""Describe how a command ended."""

import msgspec


class CommandEnd(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the exit status and the standard output."""

    status: int
    output: str
