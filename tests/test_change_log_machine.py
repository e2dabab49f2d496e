"""Check the log under random sequences of changes, faults and restarts."""

import asyncio

from hypothesis import Phase, settings, stateful, strategies

from oatcrank import errors
from oatcrank.configuration import change, change_errors
from tests import configuration_parts as parts

FAULTS = (
    'none',
    'down',
    'late',
    'lose_answers',
    'lose_requests',
    'stale_reads',
)
FAULT = strategies.sampled_from(FAULTS)
INSTANCES = strategies.integers(0, 2)


class ChangeLogMachine(stateful.RuleBasedStateMachine):
    """Race operators on three instances over one faulty key-value service."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = parts.LateKeyValue()
        self.instances = [
            parts.ConfigurationInstance(self.store) for _ in range(3)
        ]
        self.newest = [0, 0, 0]
        self.outcome_by_id: dict[str, object] = {}
        self.sent: list[change.Proposal] = []

    def teardown(self) -> None:
        self.loop.close()

    @stateful.rule(
        at=INSTANCES,
        name=strategies.sampled_from(['p', 'q']),
        retire=strategies.booleans(),
        fault=FAULT,
    )
    def propose(self, at: int, name: str, retire: bool, fault: str) -> None:
        self.inject_fault(fault)
        log = self.instances[at].log
        exists = name in log.profile_by_name
        change_kind = change.ChangeKind
        kind = change_kind.change if exists else change_kind.create
        revision = log.revision(parts.content(name).name)
        wanted = parts.proposal(
            f'id{len(self.sent)}',
            name=name,
            based_on=revision,
            kind=change_kind.retire if exists and retire else kind,
            first_token_ms=len(self.sent),
        )
        self.sent.append(wanted)
        self.send(at, wanted)

    @stateful.precondition(lambda machine: machine.sent)
    @stateful.rule(
        at=INSTANCES,
        pick=strategies.integers(0, 30),
        fault=FAULT,
    )
    def resend(self, at: int, pick: int, fault: str) -> None:
        self.inject_fault(fault)
        self.send(at, self.sent[pick % len(self.sent)])

    def inject_fault(self, fault: str) -> None:
        self.clear_faults()
        setattr(self.store, fault, 1)

    @stateful.rule()
    def clear_faults(self) -> None:
        for fault in FAULTS:
            setattr(self.store, fault, 0)

    @stateful.rule()
    def deliver_writes(self) -> None:
        self.clear_faults()
        self.loop.run_until_complete(self.store.deliver_writes())

    @stateful.rule(at=INSTANCES)
    def replace(self, at: int) -> None:
        self.instances[at] = parts.ConfigurationInstance(self.store)
        self.newest[at] = 0

    @stateful.rule(at=INSTANCES, source=INSTANCES)
    def exchange(self, at: int, source: int) -> None:
        log = self.instances[at].log
        log.apply_update(self.instances[source].log.updates_after(log.newest))

    @stateful.rule(at=INSTANCES)
    def read(self, at: int) -> None:
        try:
            self.loop.run_until_complete(self.instances[at].snapshots.load())
        except errors.PlatformError:
            return

    @stateful.invariant()
    def newest_never_decreases(self) -> None:
        for at, instance in enumerate(self.instances):
            assert instance.log.newest >= self.newest[at]
            self.newest[at] = instance.log.newest

    @stateful.invariant()
    def outcomes_are_true(self) -> None:
        records = self.stored()
        ids = [record.change_id for record in records]
        assert len(ids) == len(set(ids))
        revision_by_name: dict[str, int] = {}
        for record in records:
            assert record.based_on == revision_by_name.get(record.profile, 0)
            revision_by_name[record.profile] = record.number
        for change_id, outcome in self.outcome_by_id.items():
            if outcome == 'accepted':
                assert change_id in ids
            if outcome in {'refused', 'not made'}:
                assert change_id not in ids

    def stored(self) -> list[change.Change]:
        count = len(self.store.keys('changes/'))
        reader = parts.ConfigurationInstance(self.store)
        faults = {fault: getattr(self.store, fault, 0) for fault in FAULTS}
        late = self.store.in_flight
        self.store.in_flight = []
        self.clear_faults()
        self.loop.run_until_complete(reader.log.catch_up())
        records = self.loop.run_until_complete(
            reader.snapshots.changes_after(0),
        )
        for fault, value in faults.items():
            setattr(self.store, fault, value)
        self.store.in_flight = late
        assert reader.log.newest == count
        return list(records)

    def send(self, at: int, wanted: change.Proposal) -> None:
        earlier = self.outcome_by_id.get(wanted.change_id)
        accepting = self.instances[at].writer.accept(wanted)
        try:
            self.loop.run_until_complete(accepting)
        except change_errors.ChangeOutcomeUnknown:
            outcome = 'unknown'
        except change_errors.ChangeNotApplied:
            # The outcome of an earlier attempt stays unknown.
            outcome = earlier or 'not made'
        except change_errors.ConfigurationError:
            outcome = 'refused'
        else:
            outcome = 'accepted'
        assert {earlier, outcome} != {'accepted', 'refused'}
        if earlier != 'accepted':
            self.outcome_by_id[wanted.change_id] = outcome


ChangeLogMachine.TestCase.settings = settings(
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestChangeLog = ChangeLogMachine.TestCase
