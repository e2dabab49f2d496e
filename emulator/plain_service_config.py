"""Configure the plain-service stand-in."""

import msgspec


class PlainServiceConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Name the service; delay_s is how long a call runs."""

    server_id: str
    service: str
    delay_s: float = 0
