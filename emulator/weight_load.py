"""Describe a transfer asked of the weight store."""

import msgspec


class WeightLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the weights of a model or, if named, of an adapter."""

    server_id: str
    model: str
    adapter: str = ''
