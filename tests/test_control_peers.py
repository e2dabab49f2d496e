"""Check when a superseded controller counts as stopped.

A controller that counts as stopped too early may still send orders.
"""

import asyncio
from typing import Any

import pytest

from emulator import settable_members
from oatcrank import clock, errors, ids, rpc
from oatcrank.control import (
    control_peers,
    superseded_controller,
    superseded_reply,
)
from oatcrank.engines import backend_servers
from oatcrank.membership import instance_list, member

SUPERSEDED = superseded_controller.SupersededController(
    controller=ids.InstanceId('old'), incarnation=3, fence=ids.Fence(5)
)
NO_REPLY = errors.UnknownOutcome('no answer')


def member_of(name: str, incarnation: int = 3) -> member.Member:
    return member.Member(
        instance_id=ids.InstanceId(name),
        address='127.0.0.1:1',
        failure_domain=ids.FailureDomain('x'),
        incarnation=incarnation,
    )


def reply(
    name: str, incarnation: int, *, stopped: bool
) -> superseded_reply.SupersededReply:
    return superseded_reply.SupersededReply(
        instance_id=ids.InstanceId(name),
        incarnation=incarnation,
        stopped=stopped,
    )


class AnsweringRpc(rpc.Rpc):
    """Answer every call with the set reply or error."""

    def __init__(
        self, answer: superseded_reply.SupersededReply | Exception
    ) -> None:
        super().__init__()
        self.answer = answer

    async def post(self, *call: Any, **options: Any) -> Any:
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def entries(*names: str) -> tuple[instance_list.Instance, ...]:
    return tuple(
        instance_list.Instance(
            instance_id=name,
            kind=instance_list.Kind.entry,
            address='127.0.0.1:1',
            failure_domain=ids.FailureDomain('x'),
        )
        for name in names
    )


@pytest.mark.parametrize(
    ('alive', 'answer', 'lists', 'stopped'),
    [
        (True, reply('old', 3, stopped=True), [()], True),
        (True, reply('old', 3, stopped=False), [()], False),
        (True, reply('old', 4, stopped=False), [()], True),
        (True, reply('old', 2, stopped=True), [()], False),
        # A reply from another process at its address proves nothing.
        (True, reply('new', 9, stopped=True), [()], False),
        (True, NO_REPLY, [()], False),
        # It is frozen: still listed, so it may resume.
        (False, NO_REPLY, [entries('old')], False),
        (False, NO_REPLY, [entries('old'), ()], True),
        # The list lags: it may run without ever having been listed.
        (False, NO_REPLY, [()], False),
        (False, NO_REPLY, [], False),
    ],
)
def test_has_stopped(
    alive: bool,
    answer: superseded_reply.SupersededReply | Exception,
    lists: list[tuple[instance_list.Instance, ...]],
    stopped: bool,
) -> None:
    async def run() -> bool:
        own = member_of('this')
        members = settable_members.SettableMembers(own)
        members.alive_members = (own, member_of('old')) if alive else (own,)
        servers = backend_servers.BackendServers(None, clock.ManualClock())
        for listed in lists:
            servers.update(listed)
        control = control_peers.ControlPeers(
            members=members,
            client=AnsweringRpc(answer),
            engine_of=lambda listed: None,
            is_idle_here=lambda query: True,
            is_former_entry=servers.is_former_entry,
        )
        return await control.has_stopped(SUPERSEDED)

    assert asyncio.run(run()) is stopped
