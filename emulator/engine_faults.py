"""Define the faults of the engine stand-in."""

import msgspec


class EngineFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; each use of a counted fault decrements its count.

    down: every connection is cut and all requests are stopped.
    drop_orders: this many next orders are answered but have no effect.
    delay_orders_s: orders are answered at once and take effect later.
    double_orders: each order takes effect twice, the second time later.
    lose_order_answers: this many next orders take effect without an answer.
    crash_on: the process exits when it runs a prompt with this text.
    cut_stream_after: streams are cut after this many tokens.
    refuse: every completion is refused as busy.
    leaving: completions are refused and reports carry the leaving flag.
    hang_s: reports and orders are answered after this delay.
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
