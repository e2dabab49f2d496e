"""Check the log against every order of operators, faults and restarts."""

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
    """Race operators on three instances over one faulty service."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = parts.LateKeyValue()
        self.instances = [parts.Parts(self.store) for _ in range(3)]
        self.newest = [0, 0, 0]
        self.told_by_id: dict[str, object] = {}
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
        self.break_service(fault)
        log = self.instances[at].log
        exists = name in log.profile_by_name
        kinds = change.ChangeKind
        kind = kinds.change if exists else kinds.create
        revision = log.revision(parts.content(name).name)
        wanted = parts.proposal(
            f'id{len(self.sent)}',
            name=name,
            based_on=revision,
            kind=kinds.retire if exists and retire else kind,
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
        self.break_service(fault)
        self.send(at, self.sent[pick % len(self.sent)])

    def break_service(self, fault: str) -> None:
        self.mend()
        setattr(self.store, fault, 1)

    @stateful.rule()
    def mend(self) -> None:
        for fault in FAULTS:
            setattr(self.store, fault, 0)

    @stateful.rule()
    def land(self) -> None:
        self.mend()
        self.loop.run_until_complete(self.store.land())

    @stateful.rule(at=INSTANCES)
    def replace(self, at: int) -> None:
        self.instances[at] = parts.Parts(self.store)
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
    def only_rises(self) -> None:
        for at, one in enumerate(self.instances):
            assert one.log.newest >= self.newest[at]
            self.newest[at] = one.log.newest

    @stateful.invariant()
    def holds_what_was_told(self) -> None:
        found = self.stored()
        ids = [record.change_id for record in found]
        assert len(ids) == len(set(ids))
        revision_by_name: dict[str, int] = {}
        for record in found:
            assert record.based_on == revision_by_name.get(record.profile, 0)
            revision_by_name[record.profile] = record.number
        for change_id, told in self.told_by_id.items():
            if told == 'accepted':
                assert change_id in ids
            if told in {'refused', 'not made'}:
                assert change_id not in ids

    def stored(self) -> list[change.Change]:
        count = len(self.store.keys('changes/'))
        reader = parts.Parts(self.store)
        faults = {fault: getattr(self.store, fault, 0) for fault in FAULTS}
        late = self.store.under_way
        self.store.under_way = []
        self.mend()
        self.loop.run_until_complete(reader.log.catch_up())
        found = self.loop.run_until_complete(
            reader.snapshots.changes_after(0),
        )
        for fault, was in faults.items():
            setattr(self.store, fault, was)
        self.store.under_way = late
        assert reader.log.newest == count
        return list(found)

    def send(self, at: int, wanted: change.Proposal) -> None:
        before = self.told_by_id.get(wanted.change_id)
        accepting = self.instances[at].writer.accept(wanted)
        try:
            self.loop.run_until_complete(accepting)
        except change_errors.ChangeOutcomeUnknown:
            told = 'unknown'
        except change_errors.ChangeNotApplied:
            # This says nothing of an earlier sending.
            told = before or 'not made'
        except change_errors.ConfigurationError:
            told = 'refused'
        else:
            told = 'accepted'
        assert {before, told} != {'accepted', 'refused'}
        if before != 'accepted':
            self.told_by_id[wanted.change_id] = told


ChangeLogMachine.TestCase.settings = settings(
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestChangeLog = ChangeLogMachine.TestCase
