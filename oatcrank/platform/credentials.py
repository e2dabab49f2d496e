"""Decode the headers that tell whose request it is."""

import re

from oatcrank.transport import message

AUTHORIZATION = b'authorization'
ORGANISATION = b'x-tenant'
CREDENTIALS = frozenset((AUTHORIZATION, ORGANISATION))
KEY_SCHEME = b'Token'
MAX_KEY_BYTES = 256
KEY = re.compile(rb'[!-~]{1,%d}' % MAX_KEY_BYTES)


def decode_key(headers: message.Headers) -> bytes | None:
    """Decode `Token KEY`; None for a missing, repeated or malformed header."""
    texts = [text for name, text in headers if name.lower() == AUTHORIZATION]
    if len(texts) != 1:
        return None
    scheme, _, key = texts[0].strip().partition(b' ')
    if scheme.lower() != KEY_SCHEME.lower():
        return None
    key = key.strip()
    return key if KEY.fullmatch(key) else None


def remove(headers: message.Headers) -> message.Headers:
    """Return headers without keys and without names of organisations."""
    return [pair for pair in headers if pair[0].lower() not in CREDENTIALS]
