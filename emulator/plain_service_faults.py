"""Faults of the plain-service stand-in."""

import msgspec


class PlainServiceFaults(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True
):
    """Faults to inject; each use of a count decrements it.

    cut_before: number of next calls whose connection closes before they run.
    cut_after: number of next calls that run and close without an answer.
    hang_s: delay of every call that runs, in seconds.
    crash_on: a call whose body contains this text ends the process.
    leaving: calls are refused as not run.
    """

    cut_before: int = 0
    cut_after: int = 0
    hang_s: float = 0
    crash_on: str = ''
    leaving: bool = False
