"""Find the organisation that holds a key; only digests of keys are kept."""

import hashlib
import hmac
from collections.abc import Iterable

from oatcrank import ids, logs
from oatcrank.organisations import organisation

FINGERPRINT_DIGITS = 8


class KeyTable:
    """Table of organisations by the digests of their keys."""

    def __init__(
        self, organisations: Iterable[organisation.Organisation]
    ) -> None:
        """List the keys; of two holders of one key the first is kept."""
        self._holder_by_digest: dict[
            ids.KeyDigest, organisation.Organisation
        ] = {}
        for holder in organisations:
            for key_digest in holder.key_digests:
                self._add(key_digest, holder)

    def find(self, key: bytes) -> organisation.Organisation | None:
        """Return the organisation that holds a key, or None."""
        asked = digest(key)
        holder = self._holder_by_digest.get(asked)
        if holder is None:
            return None
        if not any(
            hmac.compare_digest(asked, held) for held in holder.key_digests
        ):
            return None
        return holder

    def _add(
        self, key_digest: ids.KeyDigest, holder: organisation.Organisation
    ) -> None:
        known = self._holder_by_digest.setdefault(key_digest, holder)
        if known is not holder:
            logs.event(
                'key_ambiguous',
                key=fingerprint(key_digest),
                organisation=known.name,
                ignored=holder.name,
            )


def digest(key: bytes) -> ids.KeyDigest:
    """Return the digest by which a key is known."""
    return ids.KeyDigest(hashlib.sha256(key).hexdigest())


def fingerprint(key_digest: ids.KeyDigest) -> str:
    """Return what logs show of a key."""
    return key_digest[:FINGERPRINT_DIGITS]
