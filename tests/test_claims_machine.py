"""Search for combinations of faults that run a request twice."""

import asyncio

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful, strategies

from emulator import (
    claims_fleet,
    claims_instance,
    memory_network,
    virtual_time_loop,
)
from oatcrank import refusal
from oatcrank.settings import claims_settings

SIZE = 3
KEYS = ('key-1', 'key-2')
HEALED_S = 200.0
FAULTS = (
    ('store', 'lose_answers'),
    ('store', 'late_writes'),
    ('store', 'pause_after_write'),
    ('client', 'lose_requests'),
    ('client', 'lose_answers'),
    ('client', 'repeat'),
)
numbers = strategies.integers(0, SIZE - 1)
faults = strategies.sampled_from(FAULTS)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_time_loop.VirtualTimeLoop()
        self.network = memory_network.MemoryNetwork()
        self.fleet = self.loop.run_until_complete(self.start())
        self.sent: list[tuple[int, str, asyncio.Task]] = []
        self.gone: set[int] = set()

    async def start(self) -> claims_fleet.ClaimsFleet:
        return claims_fleet.ClaimsFleet(
            size=SIZE,
            settings=claims_settings.ClaimsSettings(shards=1),
            clock_source=virtual_time_loop.LoopClock(self.loop),
            network=self.network,
        )

    @stateful.initialize(divided=strategies.booleans())
    def warm_up(self, *, divided: bool) -> None:
        for number, instance in enumerate(self.fleet.instances):
            self.divide(number, alone=divided)
            self.loop.run_until_complete(instance.run('warm up'))

    @stateful.rule(number=numbers, key=strategies.sampled_from(KEYS))
    def send(self, number: int, key: str) -> None:
        if number not in self.gone:
            call = self.fleet.instances[number].run(key)
            self.sent.append((number, key, self.loop.create_task(call)))

    @stateful.rule(
        wait_s=strategies.sampled_from([0, 0, 0.001, 0.03, 0.5, 1.5, 6]),
    )
    def wait(self, wait_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(wait_s))

    @stateful.rule(
        number=numbers, fault=faults, times=strategies.integers(1, 4)
    )
    def fault(self, number: int, fault: tuple[str, str], times: int) -> None:
        part, name = fault
        setattr(getattr(self.fleet.instances[number], part), name, times)

    @stateful.rule(number=numbers, frozen=strategies.booleans())
    def freeze(self, number: int, *, frozen: bool) -> None:
        instance = self.fleet.instances[number]
        if frozen:
            instance.pause()
        else:
            instance.resume()

    @stateful.rule(
        number=numbers,
        down=strategies.booleans(),
        delay_s=strategies.sampled_from([0, 0.002, 0.4, 2]),
    )
    def trouble(self, number: int, *, down: bool, delay_s: float) -> None:
        store = self.fleet.instances[number].store
        store.down, store.delay_s = down, delay_s

    @stateful.rule(number=numbers, alone=strategies.booleans())
    def change_belief(self, number: int, *, alone: bool) -> None:
        self.divide(number, alone=alone)

    def divide(self, number: int, *, alone: bool) -> None:
        instance = self.fleet.instances[number]
        everyone = tuple(each.this for each in self.fleet.instances)
        instance.peers.alive_members = (instance.this,) if alone else everyone

    @stateful.rule(
        number=numbers,
        rejecting=strategies.booleans(),
        running=strategies.booleans(),
    )
    def serve(self, number: int, *, rejecting: bool, running: bool) -> None:
        instance = self.fleet.instances[number]
        instance.rejects_requests = rejecting
        if running:
            instance.may_finish.set()
        else:
            instance.may_finish.clear()

    @stateful.rule(number=numbers)
    def land(self, number: int) -> None:
        self.loop.run_until_complete(
            self.fleet.instances[number].store.deliver_writes()
        )

    @stateful.precondition(lambda machine: not machine.gone)
    @stateful.rule(number=numbers)
    def lose_instance(self, number: int) -> None:
        self.gone.add(number)
        for at, _, task in self.sent:
            if at == number:
                task.cancel()
        self.wait(0)
        instance = self.fleet.instances[number]
        self.network.remove(instance)
        self.loop.run_until_complete(instance.stop())

    @stateful.invariant()
    def at_most_once(self) -> None:
        assert max(self.fleet.ledger.values(), default=0) <= 1

    def teardown(self) -> None:
        try:
            self.loop.run_until_complete(self.end())
            self.at_most_once()
        finally:
            self.loop.run_until_complete(self.close())
            self.loop.close()

    async def end(self) -> None:
        for number, instance in enumerate(self.fleet.instances):
            self.heal(number, instance)
            await instance.store.deliver_writes()
        calls = [task for at, _, task in self.sent if at not in self.gone]
        async with asyncio.timeout(HEALED_S):
            await asyncio.gather(*calls, return_exceptions=True)
        for _, key, task in self.sent:
            if not task.cancelled():
                self.check(key, task.exception() or task.result())
        for key in KEYS:
            for instance in self.fleet.instances:
                if instance.this.instance_id not in self.gone_ids():
                    await self.resend(instance, key)

    def heal(
        self, number: int, instance: claims_instance.ClaimsInstance
    ) -> None:
        if number not in self.gone:
            instance.resume()
        instance.store.down = False
        instance.store.delay_s = 0
        for part, name in FAULTS:
            setattr(getattr(instance, part), name, 0)
        instance.rejects_requests = False
        instance.may_finish.set()

    def gone_ids(self) -> set[str]:
        return {
            self.fleet.instances[number].this.instance_id
            for number in self.gone
        }

    async def resend(
        self,
        instance: claims_instance.ClaimsInstance,
        key: str,
    ) -> None:
        try:
            outcome: object = await instance.run(key)
        except refusal.Refused as refused:
            outcome = refused
        self.check(key, outcome)
        if not self.gone:
            assert outcome == claims_instance.answer_to(key)

    def check(self, key: str, outcome: object) -> None:
        if isinstance(outcome, refusal.Refused):
            return
        assert outcome == claims_instance.answer_to(key)
        assert self.fleet.ledger[key] == 1

    async def close(self) -> None:
        for _, _, task in self.sent:
            task.cancel()
        await asyncio.sleep(0)
        for number, instance in enumerate(self.fleet.instances):
            if number not in self.gone:
                await instance.stop()


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis_settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
