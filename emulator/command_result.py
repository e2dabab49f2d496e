"""Result of a command."""

import msgspec


class CommandResult(msgspec.Struct, frozen=True, kw_only=True):
    """Exit status and standard output of a command."""

    status: int
    output: str
