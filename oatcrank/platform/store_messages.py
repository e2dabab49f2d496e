"""Define the messages of the platform's store."""

import msgspec


class Item(msgspec.Struct):
    """Key with its value, or the tombstone of a removed key."""

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class Page(msgspec.Struct):
    """Page of items."""

    items: list[Item]
    has_more: bool
    # Revision of the store when it read the page.
    store_revision: int


class Events(msgspec.Struct):
    """Answer to a watch."""

    events: list[Item]
    # Revision from which the next watch continues.
    store_revision: int


class Granted(msgspec.Struct):
    """Answer to the creation of a lease."""

    lease: int


class Written(msgspec.Struct):
    """Answer to a write."""

    revision: int


class Expected(msgspec.Struct):
    """Condition on the revision of a key."""

    key: str
    revision: int


class Set(msgspec.Struct):
    """Assignment of a key; the value is standard base64."""

    key: str
    value: str
    lease: int


class Transaction(msgspec.Struct):
    """Atomic write."""

    expected: list[Expected]
    set_keys: list[Set]
    remove: list[str]
