"""Request for a transfer from the weight store."""

import msgspec


class WeightLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the weights of a model, or of an adapter if it is named."""

    server_id: str
    model: str
    adapter: str = ''
