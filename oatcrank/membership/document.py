"""Describe one version of a named document."""

import msgspec


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a document's text; version only rises."""

    name: str
    version: int
    text: str
