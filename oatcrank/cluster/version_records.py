"""Record in the store which software versions the services have had.

An instance that has just started can't know which versions served before it.
"""

import asyncio
import time

from oatcrank import errors, ids, logs
from oatcrank.cluster import catch_up, members, store, store_mirror
from oatcrank.routing import server_table, stream_origin_table

# Followed by the service, a slash and the version.
KEY_PREFIX = 'software-versions/'
CHECK_INTERVAL_S = 0.5


class VersionRecords:
    """Keep the records up to date, one writer for each, and read them."""

    def __init__(
        self,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
        servers: server_table.ServerTable,
    ) -> None:
        """Record the versions of the servers in a table."""
        self._store = store_client
        self._mirror = mirror
        self._members = members
        self._servers = servers
        self._catch_up = catch_up.CatchUp(store_client, mirror)
        # When this instance first saw each record; monotonic, in seconds.
        self._first_seen_s_by_key: dict[str, float] = {}

    @property
    def is_current(self) -> bool:
        """Return whether this instance follows the store, as far as known."""
        return self._mirror.is_current

    async def catch_up(self) -> bool:
        """Return whether all versions are known that the store knows now."""
        return self.is_current and await self._catch_up.run()

    def recent_versions(
        self, service: ids.ServiceName
    ) -> set[ids.SoftwareVersion]:
        """Return all versions that may have begun a stream that goes on."""
        since_s = time.monotonic() - stream_origin_table.STREAM_LIFETIME_S
        versions = self._servers.versions_since(service, since_s)
        versions.update(self._recorded_versions(service))
        return versions

    async def run(self) -> None:
        """Add and remove records until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._mirror.is_current:
                await self._update()

    async def _update(self) -> None:
        since_s = time.monotonic() - stream_origin_table.STREAM_LIFETIME_S
        seen_keys = {
            _key(service, version)
            for service in self._servers.services()
            for version in self._servers.versions_since(service, since_s)
        }
        recorded_keys = set(self._mirror.keys(KEY_PREFIX))
        self._note_records(recorded_keys)
        for new_key in seen_keys - recorded_keys:
            await self._write_if_chosen(
                new_key,
                store.Transaction(
                    expected_revision_by_key={new_key: store.ABSENT},
                    value_by_key={new_key: b'seen'},
                ),
            )
        for old_key in recorded_keys - seen_keys:
            if self._first_seen_s_by_key[old_key] > since_s:
                # Its servers may have ended unseen while streams go on.
                continue
            await self._write_if_chosen(
                old_key, store.Transaction(removed_keys=(old_key,))
            )

    def _note_records(self, keys: set[str]) -> None:
        now_s = time.monotonic()
        self._first_seen_s_by_key = {
            key: self._first_seen_s_by_key.get(key, now_s) for key in keys
        }

    async def _write_if_chosen(
        self, key: str, transaction: store.Transaction
    ) -> None:
        """Write a record if all instances choose this one to do so."""
        if self._members.own not in self._members.ranked(key, 1):
            return
        try:
            await self._store.write(transaction)
        except errors.PlatformError as error:
            # The next round tries again.
            logs.event('version_record_failed', key=key, error=error)

    def _recorded_versions(
        self, service: ids.ServiceName
    ) -> set[ids.SoftwareVersion]:
        prefix = _key(service, ids.SoftwareVersion(''))
        return {
            ids.SoftwareVersion(key.removeprefix(prefix))
            for key in self._mirror.keys(prefix)
        }


def _key(service: ids.ServiceName, version: ids.SoftwareVersion) -> str:
    return f'{KEY_PREFIX}{service}/{version}'
