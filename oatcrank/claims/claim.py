"""Define the entries of claim log records."""

import msgspec
import xxhash

from oatcrank import ids
from oatcrank.claims import claimed_answer

SEPARATOR = b'\0'


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag='claim'):
    """Claim a key for one attempt.

    The claim takes effect if the key is free or is held by the attempt named
    in replaces, which that attempt's claimant has reported as withdrawn.  The
    claimant is the instance that makes the attempt, reached at address.
    """

    digest: str
    attempt: str
    instance_id: ids.InstanceId
    incarnation: int
    address: str
    fingerprint: int
    replaces: str = ''


class Released(msgspec.Struct, frozen=True, kw_only=True, tag='released'):
    """Withdraw a claim whose attempt is known not to have run."""

    digest: str
    attempt: str


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag='ended'):
    """Record how an attempt ended; an interrupted one may have run."""

    digest: str
    attempt: str
    interrupted: bool = False
    answer: claimed_answer.ClaimedAnswer | None = None


class LookUp(msgspec.Struct, frozen=True, kw_only=True, tag='look_up'):
    """Ask who holds a key; never written to the log."""

    digest: str


# What a record of the log can hold.
Entry = Claim | Released | Ended
# What can be submitted to a shard; all but LookUp are written to its log.
Offer = Claim | Released | Ended | LookUp


def digest_of(profile: ids.ProfileName, key: str) -> str:
    """Return the xxh3_128 hex digest of a profile and a caller's key."""
    return xxhash.xxh3_128_hexdigest(
        profile.encode() + SEPARATOR + key.encode(),
    )


def fingerprint_of(body: bytes) -> int:
    """Return the xxh64 digest used to compare the bodies of resends."""
    return xxhash.xxh64_intdigest(body)
