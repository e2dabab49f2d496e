"""Define the entries that the records of a claim log hold."""

import msgspec
import xxhash

from oatcrank import ids
from oatcrank.claims import claimed_answer

SEPARATOR = b'\0'


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag='claim'):
    """Claim a key for one attempt.

    The claim holds if no other attempt holds the key, or if only the attempt
    that it replaces does, which its claimant has declared withdrawn.
    """

    digest: str
    attempt: str
    instance_id: ids.InstanceId
    incarnation: int
    address: str
    fingerprint: int
    replaces: str = ''


class Released(msgspec.Struct, frozen=True, kw_only=True, tag='released'):
    """Withdraw a claim whose attempt surely did not run."""

    digest: str
    attempt: str


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag='ended'):
    """Record how an attempt ended; an interrupted one may have run."""

    digest: str
    attempt: str
    interrupted: bool = False
    answer: claimed_answer.ClaimedAnswer | None = None


class LookUp(msgspec.Struct, frozen=True, kw_only=True, tag='look_up'):
    """Ask who holds a key; no record holds it."""

    digest: str


Entry = Claim | Released | Ended
Offer = Claim | Released | Ended | LookUp


def digest_of(profile: ids.ProfileName, key: str) -> str:
    """Return the xxh3_128 hex digest that stands for a caller's key."""
    return xxhash.xxh3_128_hexdigest(
        profile.encode() + SEPARATOR + key.encode(),
    )


def fingerprint_of(body: bytes) -> int:
    """Return the xxh64 digest by which a resend's body is compared."""
    return xxhash.xxh64_intdigest(body)
