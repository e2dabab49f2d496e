"""Agree on the number of shards."""

import contextlib

from oatcrank import errors, logs
from oatcrank.store import keyvalue

KEY = 'claims/shards'
ATTEMPTS = 4


class ClaimShardCount:
    """Use the number of shards that the first instance recorded.

    With two numbers in use, claims of one key would go to two logs.
    """

    def __init__(self, store: keyvalue.KeyValue, proposed: int) -> None:
        """Propose a number, recorded if no instance has recorded one."""
        self._store = store
        self._proposed = proposed
        self._agreed: int | None = None

    async def agreed(self) -> int:
        """Return the recorded number, or raise errors.PlatformError."""
        if self._agreed is None:
            self._agreed = await self._read_or_propose()
            if self._agreed != self._proposed:
                logs.event(
                    'claim_shards_differ',
                    recorded=self._agreed,
                    configured=self._proposed,
                )
        return self._agreed

    async def _read_or_propose(self) -> int:
        for _ in range(ATTEMPTS):
            entry = await self._store.get(KEY)
            if entry is not None:
                return int(entry.value)
            # If another instance wrote first, the next read returns its value.
            with contextlib.suppress(errors.Conflict, errors.UnknownOutcome):
                await self._store.put(
                    KEY,
                    str(self._proposed),
                    expected=keyvalue.ABSENT,
                )
        raise errors.Unavailable(f'{KEY} cannot be read')
