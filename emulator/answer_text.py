"""Generate answer text as a deterministic function of the request."""

from collections.abc import Iterable

import xxhash

SYLLABLES = (
    'ba', 'ce', 'di', 'fo', 'gu', 'ha', 'je', 'ki',
    'lo', 'mu', 'na', 'pe', 'ri', 'so', 'tu', 'va',
)  # fmt: skip
SYLLABLE_MASK = 0xF
SYLLABLE_BITS = 4
TOKEN_SHIFT = 40
UINT64_MASK = 0xFFFFFFFFFFFFFFFF
INDEX_FACTOR = 0x9E3779B97F4A7C15
MIX_FACTOR = 0xD6E8FEB86659FD93


def seed(model: str, adapter: str, prompt: str) -> int:
    """Return the seed that determines an answer's tokens."""
    return xxhash.xxh64_intdigest(
        f'{model}\0{adapter}\0{prompt}'.encode(),
    )


def token(answer_seed: int, index: int) -> str:
    """Return the token at an index of the answer."""
    hashed = (answer_seed ^ (index * INDEX_FACTOR)) * MIX_FACTOR & UINT64_MASK
    bits = hashed >> TOKEN_SHIFT
    first = SYLLABLES[bits & SYLLABLE_MASK]
    bits >>= SYLLABLE_BITS
    second = SYLLABLES[bits & SYLLABLE_MASK]
    third = SYLLABLES[(bits >> SYLLABLE_BITS) & SYLLABLE_MASK]
    return f' {first}{second}{third}'


def digest(texts: Iterable[str]) -> str:
    """Return the digest of a whole answer, given its tokens in order."""
    return str(xxhash.xxh64_hexdigest(''.join(texts).encode()))
