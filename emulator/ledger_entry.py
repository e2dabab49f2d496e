"""Define the record of a request that a stand-in ran."""

import msgspec


class LedgerEntry(msgspec.Struct, kw_only=True):
    """One run; times are seconds since the epoch."""

    request_id: str
    key: str = ''
    model: str = ''
    adapter: str = ''
    path: str = ''
    tokens: int = 0
    started: float = 0
    finished: float | None = None
    cancelled: bool = False
