"""Spell the calls of the platform's store."""

import msgspec


class Item(msgspec.Struct):
    """Hold a key, or that it was removed."""

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class Page(msgspec.Struct):
    """Hold a page of keys."""

    items: list[Item]
    has_more: bool
    # The store's own revision when it read the page.
    store_revision: int


class Events(msgspec.Struct):
    """Hold what a watch has seen."""

    events: list[Item]
    # Where the next watch goes on from.
    store_revision: int


class Granted(msgspec.Struct):
    """Hold a lease just begun."""

    lease: int


class Written(msgspec.Struct):
    """Hold what a write has done."""

    revision: int


class Expected(msgspec.Struct):
    """Name a revision that a key must have."""

    key: str
    revision: int


class Set(msgspec.Struct):
    """Set a key; the value is standard base64."""

    key: str
    value: str
    lease: int


class Transaction(msgspec.Struct):
    """Hold a write, all or nothing."""

    expected: list[Expected]
    set_keys: list[Set]
    remove: list[str]
