"""Name the faults of the plain-service stand-in."""

import msgspec


class PlainServiceFaults(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True
):
    """Hold what goes wrong; the counts go down as they are used.

    cut_before: that many next calls are cut and do not run.
    cut_after: that many next calls run and are cut without an answer.
    hang_s: calls run and are answered that much later.
    crash_on: a body that contains it ends the process while it runs.
    leaving: calls are refused as not run.
    """

    cut_before: int = 0
    cut_after: int = 0
    hang_s: float = 0
    crash_on: str = ''
    leaving: bool = False
