"""Make the text of answers, which depends on the request alone."""

from collections.abc import Iterable

import xxhash

SYLLABLES = (
    'ba', 'ce', 'di', 'fo', 'gu', 'ha', 'je', 'ki',
    'lo', 'mu', 'na', 'pe', 'ri', 'so', 'tu', 'va',
)  # fmt: skip
SYLLABLE_MASK = 0xF
SYLLABLE_BITS = 4
TOKEN_SHIFT = 40
WORD_MASK = 0xFFFFFFFFFFFFFFFF
INDEX_FACTOR = 0x9E3779B97F4A7C15
MIX_FACTOR = 0xD6E8FEB86659FD93


def seed(model: str, adapter: str, prompt: str) -> int:
    """Return what decides an answer's tokens."""
    return xxhash.xxh64_intdigest(
        f'{model}\0{adapter}\0{prompt}'.encode(),
    )


def token(answer_seed: int, index: int) -> str:
    """Return one token of the answer."""
    mixed = (answer_seed ^ (index * INDEX_FACTOR)) * MIX_FACTOR & WORD_MASK
    drawn = mixed >> TOKEN_SHIFT
    first = SYLLABLES[drawn & SYLLABLE_MASK]
    drawn >>= SYLLABLE_BITS
    second = SYLLABLES[drawn & SYLLABLE_MASK]
    third = SYLLABLES[(drawn >> SYLLABLE_BITS) & SYLLABLE_MASK]
    return f' {first}{second}{third}'


def digest(texts: Iterable[str]) -> str:
    """Return the digest of a whole answer, given its tokens in order."""
    return str(xxhash.xxh64_hexdigest(''.join(texts).encode()))
