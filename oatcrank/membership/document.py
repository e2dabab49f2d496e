"""Define a version of a replicated document."""

import msgspec


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A named document with a version that only increases."""

    name: str
    version: int
    text: str
