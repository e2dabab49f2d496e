"""Decode JSON that other processes have written."""

from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')


def from_json(encoded: bytes | str, *, expected: type[Decoded]) -> Decoded:
    """Decode JSON of a type, or raise msgspec.MsgspecError.

    msgspec itself raises other errors for text that is nested too deeply, and
    for some that is not UTF-8.
    """
    try:
        return msgspec.json.decode(encoded, type=expected)
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
