"""Describe how the plain-service stand-in refuses."""

import msgspec


class ServiceRefusal(msgspec.Struct, frozen=True):
    """Say that a request did not run."""

    code: str
