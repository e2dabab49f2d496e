"""Configuration of the plain-service stand-in."""

import msgspec


class PlainServiceConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Name of the service; delay_s is the duration of a call."""

    server_id: str
    service: str
    delay_s: float = 0
