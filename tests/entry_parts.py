"""Run several instances' membership and configuration on loopback."""

import asyncio
from typing import Any

from tornado import httpserver, netutil, web

from oatcrank import errors, ids, rpc
from oatcrank.configuration import change_follower, operator_handlers
from oatcrank.membership import (
    documents,
    instance_list,
    internal_handlers,
    member,
    membership,
)
from oatcrank.settings import configuration_settings, membership_settings
from oatcrank.store import keyvalue
from tests import configuration_parts

PERIOD_MS = 20
DEAD_AFTER_MS = 400


class FakeInstanceList(instance_list.InstanceList):
    """Fake instance list of the platform that can be made unavailable."""

    def __init__(self) -> None:
        self.instances: dict[str, instance_list.Instance] = {}
        self.down = False

    async def read(self) -> tuple[instance_list.Instance, ...]:
        if self.down:
            raise errors.Unavailable('the list is down')
        return tuple(self.instances.values())


class DisconnectableRpc(rpc.Rpc):
    """RPC client of one instance that can be disconnected from its peers."""

    def __init__(self) -> None:
        super().__init__()
        self.cut = False

    async def fetch(self, address: str, *rest: Any, **named: Any) -> bytes:
        if self.cut:
            raise errors.Unavailable('cut off')
        return await super().fetch(address, *rest, **named)


class Entry:
    """Entry instance without its data path."""

    def __init__(
        self,
        name: str,
        store: keyvalue.KeyValue,
        listing: FakeInstanceList,
        *,
        domain: str = 'd',
        incarnation: int = 1,
        settings: membership_settings.MembershipSettings | None = None,
    ) -> None:
        self.link = configuration_parts.CuttableLink(store)
        self.configuration = configuration_parts.ConfigurationInstance(
            self.link
        )
        self.rpc = DisconnectableRpc()
        self.silent = False
        self.follower = change_follower.ChangeFollower(
            self.configuration.log,
            self.configuration.snapshots,
            settings=configuration_settings.ConfigurationSettings(
                watch_wait_ms=200,
                retry_ms=20,
            ),
            clock=self.configuration.clock,
            client=self.rpc,
            isolated_after_s=0.4,
        )
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        self.membership = membership.Membership(
            member.Member(
                instance_id=ids.InstanceId(name),
                address=f'127.0.0.1:{port}',
                failure_domain=ids.FailureDomain(domain),
                incarnation=incarnation,
            ),
            settings=settings
            or membership_settings.MembershipSettings(
                exchange_period_ms=PERIOD_MS,
                dead_after_ms=DEAD_AFTER_MS,
            ),
            instance_list=listing,
            client=self.rpc,
            clock=self.configuration.clock,
            documents=documents.Documents(),
            follower=self.follower,
        )
        self.membership.list_period_s = 0.05
        dependencies = operator_handlers.OperatorDependencies(
            log=self.configuration.log,
            snapshots=self.configuration.snapshots,
            writer=self.configuration.writer,
            follower=self.follower,
            membership=self.membership,
        )
        application = web.Application(
            [
                *internal_handlers.routes(
                    self.membership, self.configuration.log
                ),
                *operator_handlers.routes(dependencies),
            ],
            log_function=lambda _: None,
        )
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        self.tasks: list[asyncio.Task[None]] = []
        listing.instances[name] = instance_list.Instance(
            instance_id=name,
            kind=instance_list.Kind.entry,
            address=self.membership.own.address,
            failure_domain=ids.FailureDomain(domain),
        )

    def start(self) -> None:
        self.tasks = [
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(self.follower.run()),
        ]

    def names(self) -> list[str]:
        return [peer.instance_id for peer in self.membership.alive()]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.stop()
        await self.server.close_all_connections()
        self.rpc.close()


async def wait_until(condition: Any) -> None:
    while True:
        if condition():
            return
        await asyncio.sleep(0.005)


async def stop_all(entries: list[Entry]) -> None:
    await asyncio.gather(*(entry.stop() for entry in entries))
