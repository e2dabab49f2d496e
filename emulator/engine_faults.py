"""Name the faults of the engine stand-in."""

import msgspec


class EngineFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold what goes wrong; the counts go down as they are used.

    down: every connection is cut, and what runs is stopped.
    drop_orders: that many next orders are answered and have no effect.
    delay_orders_s: orders are answered at once and take effect later.
    double_orders: each order takes effect twice, the second time later.
    lose_order_answers: that many orders take effect without an answer.
    crash_on: a prompt that contains it ends the process when it runs.
    cut_stream_after: streams end without a word after that many tokens.
    refuse: every completion is refused as busy.
    leaving: completions are refused and the report says so.
    hang_s: reports and orders are answered that much later.
    """

    down: bool = False
    drop_orders: int = 0
    delay_orders_s: float = 0
    double_orders: bool = False
    lose_order_answers: int = 0
    crash_on: str = ''
    cut_stream_after: int | None = None
    refuse: bool = False
    leaving: bool = False
    hang_s: float = 0
