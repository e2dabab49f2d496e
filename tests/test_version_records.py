"""Test how instances learn which software versions the services have had."""

import asyncio
import time

import cluster_parts
import pytest
import routing_parts
import virtual

from oatcrank.cluster import version_records
from oatcrank.routing import stream_origin_table

SERVICE = routing_parts.SERVICE
LIFETIME_S = stream_origin_table.STREAM_LIFETIME_S
ROUND_S = 2 * version_records.CHECK_INTERVAL_S


class Fleet(cluster_parts.Fleet):
    """Instances that record versions."""

    def __init__(self, count):
        super().__init__(count)
        self.records = [
            version_records.VersionRecords(
                instance.client,
                instance.mirror,
                instance.members,
                instance.servers,
            )
            for instance in self.members
        ]

    def start(self):
        super().start()
        self._recording = [
            asyncio.ensure_future(records.run()) for records in self.records
        ]

    async def stop(self):
        for task in self._recording:
            task.cancel()
        await super().stop()

    def keys(self) -> set[str]:
        """Return the recorded versions in the store."""
        return {
            key
            for key in self.shared.item_by_key
            if key.startswith(version_records.KEY_PREFIX)
        }

    def register(self, version: str, number: int = 0) -> None:
        """Register a server at all instances."""
        for instance in self.members:
            instance.servers.put(
                routing_parts.registration(number, software_version=version)
            )


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    """Let monotonic time follow the event loop."""

    def now():
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    monkeypatch.setattr(time, 'monotonic', now)


def run(scenario, count=3):
    async def run_scenario():
        fleet = Fleet(count)
        fleet.start()
        try:
            await asyncio.sleep(1)
            await scenario(fleet)
        finally:
            await fleet.stop()

    virtual.run(run_scenario())


def test_each_version_is_recorded_once():
    async def scenario(fleet):
        fleet.register('v1', 0)
        fleet.register('v1.1', 1)
        await asyncio.sleep(ROUND_S)
        assert fleet.keys() == {
            f'software-versions/{SERVICE}/v1',
            f'software-versions/{SERVICE}/v1.1',
        }

    run(scenario)


def test_a_new_instance_knows_versions_that_have_left():
    async def scenario(fleet):
        *old, new = fleet.members
        for number, version in enumerate(('v1', 'v1.1')):
            registration = routing_parts.registration(
                number, software_version=version
            )
            for instance in old:
                instance.servers.put(registration)
        new.servers.put(routing_parts.registration(0, software_version='v1'))
        await asyncio.sleep(ROUND_S)
        assert fleet.records[-1].recent_versions(SERVICE) == {'v1', 'v1.1'}

    run(scenario)


def test_a_record_is_removed_when_no_stream_of_its_version_goes_on():
    async def scenario(fleet):
        fleet.register('v1', 0)
        fleet.register('v1.1', 1)
        await asyncio.sleep(ROUND_S)
        for instance in fleet.members:
            instance.servers.remove('server-1', 'ended')
        await asyncio.sleep(LIFETIME_S / 2)
        assert len(fleet.keys()) == 2
        await asyncio.sleep(LIFETIME_S / 2 + ROUND_S)
        assert fleet.keys() == {f'software-versions/{SERVICE}/v1'}
        assert fleet.records[0].recent_versions(SERVICE) == {'v1'}

    run(scenario)


@pytest.mark.parametrize('age_s', [1, LIFETIME_S + 1])
def test_a_version_whose_servers_ended_unseen_counts_while_streams_go_on(age_s):
    """An instance that was suspended finds only the record of it."""

    async def scenario(fleet):
        fleet.register('v1')
        await asyncio.sleep(age_s)
        fleet.shared.put(f'{version_records.KEY_PREFIX}{SERVICE}/v2', b'seen')
        await asyncio.sleep(ROUND_S)
        for records in fleet.records:
            assert records.recent_versions(SERVICE) == {'v1', 'v2'}
        await asyncio.sleep(LIFETIME_S + ROUND_S)
        for records in fleet.records:
            assert records.recent_versions(SERVICE) == {'v1'}

    run(scenario)
