"""Connect an entry instance to the platform and to its peers."""

from oatcrank import clock, logs, metrics, rpc
from oatcrank.configuration import (
    change_follower,
    change_log,
    change_writer,
    profile_index,
    snapshot_store,
)
from oatcrank.engines import backend_servers
from oatcrank.membership import (
    documents,
    incarnation,
    member,
    membership,
    shared_instance_list,
)
from oatcrank.settings import settings
from oatcrank.store import instance_list_http, keyvalue_http, weight_store_http

MS_PER_S = 1000
# Just below the list period, so that each period triggers one read.
LIST_MAX_AGE_RATIO = 0.9


class EntryPlatform:
    """Hold the platform's clients, the configuration and the membership."""

    def __init__(self, settings: settings.Settings) -> None:
        """Set up the clients; no call is made yet."""
        platform = settings.platform
        timeout_s = platform.timeout_ms / MS_PER_S
        self.settings = settings
        self.clock = clock.MonotonicClock()
        self.rpc = rpc.Rpc()
        self.metrics = _new_metrics(settings)
        self.store = keyvalue_http.HttpKeyValue(
            self.rpc,
            platform.key_value,
            timeout_s=timeout_s,
        )
        self.instance_list = shared_instance_list.SharedInstanceList(
            instance_list_http.HttpInstanceList(
                self.rpc,
                platform.instance_list,
                timeout_s=timeout_s,
            ),
            self.clock,
            max_age_s=LIST_MAX_AGE_RATIO * platform.list_period_ms / MS_PER_S,
        )
        self.weight_store = weight_store_http.HttpWeightStore(
            self.rpc,
            platform.weight_store,
            timeout_s=timeout_s,
        )
        self.servers = backend_servers.BackendServers(
            self.instance_list, self.clock
        )
        self.documents = documents.Documents()
        self.profile_index = profile_index.ProfileIndex()
        self.change_log = change_log.ChangeLog(
            self.store,
            segment_changes=settings.configuration.segment_changes,
            clock=self.clock,
        )
        self.snapshots = snapshot_store.SnapshotStore(
            self.store, self.change_log
        )
        self.writer = change_writer.ChangeWriter(
            self.change_log,
            self.snapshots,
            clock=self.clock,
        )
        self.follower = change_follower.ChangeFollower(
            self.change_log,
            self.snapshots,
            settings=settings.configuration,
            clock=self.clock,
            client=self.rpc,
        )
        self.membership: membership.Membership

    async def join(self) -> None:
        """Record this start and set up membership."""
        number = await incarnation.count_start(
            self.store,
            self.settings.instance_id,
        )
        logs.event('joining', incarnation=number)
        own = member.Member(
            instance_id=self.settings.instance_id,
            address=self.settings.address,
            failure_domain=self.settings.failure_domain,
            incarnation=number,
        )
        self.membership = membership.Membership(
            own,
            settings=self.settings.membership,
            instance_list=self.instance_list,
            client=self.rpc,
            clock=self.clock,
            documents=self.documents,
            follower=self.follower,
        )
        self.membership.list_period_s = (
            self.settings.platform.list_period_ms / MS_PER_S
        )
        self.change_log.add_listener(lambda _: self._rebuild())
        await self.servers.refresh()

    def close(self) -> None:
        """Close every connection."""
        self.rpc.close()

    def _rebuild(self) -> None:
        self.profile_index.rebuild(self.change_log.profile_by_name.values())


def _new_metrics(settings: settings.Settings) -> metrics.Metrics:
    if settings.statsd is None:
        return metrics.NoMetrics()
    return metrics.StatsdMetrics(
        settings.statsd.host,
        settings.statsd.port,
        settings.statsd.prefix,
    )
