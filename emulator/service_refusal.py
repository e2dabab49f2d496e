"""Refusal of the plain-service stand-in."""

import msgspec


class ServiceRefusal(msgspec.Struct, frozen=True):
    """Answer for a request that did not run."""

    code: str
