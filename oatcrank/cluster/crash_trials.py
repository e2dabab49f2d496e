"""Try once whether a refused cause still crashes servers.

Sound requests may be refused because of crashes of another cause, and what is
never sent is never answered.  One instance lets one request through, at the
server with the least to do; its answer clears the cause for all instances.  A
trial is written to the store before it begins, so that no instance repeats it.
"""

from oatcrank import errors, logs
from oatcrank.cluster import members, store, store_mirror
from oatcrank.routing import crash_causes

# Followed by the key of the record of a cause.
KEY_PREFIX = 'crash-trials/'
# Servers that crashed together are back by then.
TRIAL_DELAY_S = 10.0


class CrashTrials:
    """Trials of the recorded causes of one kind."""

    def __init__(
        self,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
        causes: crash_causes.CrashCauses[str],
        record_prefix: str,
    ) -> None:
        """Try the causes whose records have a prefix."""
        self._store = store_client
        self._mirror = mirror
        self._members = members
        self._causes = causes
        self._record_prefix = record_prefix
        # When this instance first saw each record; event loop time, in seconds.
        self._seen_s_by_key: dict[str, float] = {}
        self._opened_keys: set[str] = set()

    async def update(self, now_s: float) -> None:
        """Open the trials that are due, and forget those of cleared causes."""
        recorded_keys = set(self._mirror.keys(self._record_prefix))
        self._seen_s_by_key = {
            key: self._seen_s_by_key.get(key, now_s) for key in recorded_keys
        }
        self._opened_keys &= recorded_keys
        if not self._members.is_ranked(KEY_PREFIX + self._record_prefix, 1):
            return
        await self._remove_unused(recorded_keys)
        for key in sorted(recorded_keys - self._opened_keys):
            if now_s - self._seen_s_by_key[key] >= TRIAL_DELAY_S:
                await self._open(key)

    async def _remove_unused(self, recorded_keys: set[str]) -> None:
        for trial_key in self._mirror.keys(KEY_PREFIX + self._record_prefix):
            if trial_key.removeprefix(KEY_PREFIX) not in recorded_keys:
                await self._write(store.Transaction(removed_keys=(trial_key,)))

    async def _open(self, key: str) -> None:
        """Let a cause through once, if the store shows this instance's mark."""
        trial_key = KEY_PREFIX + key
        mark = self._mark()
        written = self._mirror.get(trial_key)
        if written is None or written.value is None:
            is_open = await self._write(
                store.Transaction(
                    expected_revision_by_key={trial_key: store.ABSENT},
                    value_by_key={trial_key: mark},
                )
            )
        else:
            # The answer to the write was lost if the mark is this instance's.
            is_open = written.value == mark
        if is_open:
            self._opened_keys.add(key)
            self._causes.open_trial(key.removeprefix(self._record_prefix))
            logs.event('crash_trial_opened', key=key)

    async def _write(self, transaction: store.Transaction) -> bool:
        """Return whether the store has acknowledged a write."""
        try:
            await self._store.write(transaction)
        except errors.PlatformError as error:
            logs.event('crash_trial_not_written', error=error)
            return False
        return True

    def _mark(self) -> bytes:
        """Return what names this process."""
        own = self._members.own
        return f'{own.instance_id}/{own.started_ms}'.encode()
