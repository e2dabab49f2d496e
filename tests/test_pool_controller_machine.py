"""Check random histories of controllers for overcommitted memory."""

from hypothesis import HealthCheck, Phase, settings, stateful
from hypothesis import strategies as st

from emulator import memory_engine
from tests import control_world

Fault = memory_engine.Fault
FAULTS = tuple(Fault)
SERVER = 's0'
FAULT = st.sampled_from([None, *FAULTS, Fault.double, Fault.freeze])
EVENTS = ('', 'work', 'depose', 'freeze', 'restart_process', 'restart_engine')
NOISE = (
    *EVENTS,
    'lag',
    'no_lag',
    'lose_answer',
    'lose_request',
    'other',
    'wake',
    'deliver',
    'end_work',
    'wait',
)
EVENT = st.sampled_from(EVENTS)
OTHER = {'a': 'b', 'b': 'a'}


class ControlMachine(stateful.RuleBasedStateMachine):
    """Mix moves, work, takeovers, freezes, restarts and lost orders.

    Models a and b do not fit beside each other on the one server.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = control_world.World((False,))
        self.leader = 0
        self.world.lead(0)
        self.world.rounds(0, 1)

    @stateful.rule(fault=FAULT, event=EVENT)
    def load(self, fault: memory_engine.Fault | None, event: str) -> None:
        """Load a or b, whichever fits."""
        self.order(fault)
        for _ in range(3):
            self.world.move('load', SERVER, 'a')
            self.world.move('load', SERVER, 'b')
            self.lead_on()
        self.happen(event)

    @stateful.rule(
        fault=FAULT,
        reload=st.booleans(),
        event=EVENT,
        times=st.integers(4, 30),
        ending=st.sampled_from(['', 'deliver', 'wake']),
    )
    def swap(
        self,
        fault: memory_engine.Fault | None,
        reload: bool,
        event: str,
        times: int,
        ending: str,
    ) -> None:
        """Unload a model; then ask for the other one, or for it again."""
        found = self.world.engines[SERVER].models()
        self.order(fault)
        for model in found:
            self.world.move('unload', SERVER, model)
        self.lead_on()
        self.happen(event)
        for _ in range(times):
            for model in found:
                wanted = model if reload else OTHER[model]
                self.world.move('load', SERVER, wanted)
            self.lead_on()
            self.world.see()
        if reload:
            self.start_work()
        self.happen(ending)

    @stateful.rule(event=st.sampled_from(NOISE))
    def happen(self, event: str) -> None:
        """Let one event happen by its name."""
        if event:
            getattr(self, event)()

    def order(self, fault: memory_engine.Fault | None) -> None:
        """Let the next order meet a fault."""
        self.world.engines[SERVER].faults.clear()
        if fault is not None:
            self.world.engines[SERVER].faults.append(fault)

    def lead_on(self) -> None:
        self.world.clock.advance(0.3)
        if not self.world.processes[self.leader].frozen:
            self.world.processes[self.leader].round()

    def other(self) -> None:
        other = self.world.processes[1 - self.leader]
        if not other.frozen:
            other.round()

    def wait(self) -> None:
        self.world.clock.advance(2.1)

    def work(self) -> None:
        self.start_work()

    def start_work(self) -> None:
        for model in self.world.engines[SERVER].models():
            self.world.start_work(SERVER, model)

    def end_work(self) -> None:
        self.world.see()
        if self.world.work:
            self.world.end_work()

    def deliver(self) -> None:
        backend = self.world.engines[SERVER]
        while backend.late_orders:
            backend.deliver_late_order(0)

    def lag(self) -> None:
        self.world.engines[SERVER].report_lag_s = control_world.LAG_S

    def no_lag(self) -> None:
        self.world.engines[SERVER].report_lag_s = 0

    def restart_engine(self) -> None:
        self.world.engines[SERVER].restart()
        self.world.work.clear()

    def depose(self) -> None:
        """Pass the lease on, the former holder unaware."""
        self.leader = 1 - self.leader
        self.world.processes[self.leader].frozen = False
        self.world.lead(self.leader)
        self.lead_on()

    def freeze(self) -> None:
        """Pass the lease on, the former holder frozen."""
        self.world.processes[self.leader].frozen = True
        self.depose()

    def wake(self) -> None:
        for process in self.world.processes:
            process.frozen = False
        self.world.wake()

    def restart_process(self) -> None:
        self.world.restart(self.leader)
        self.world.lead(self.leader)

    def lose_answer(self) -> None:
        self.world.store.lose_answers = 1

    def lose_request(self) -> None:
        self.world.store.lose_requests = 1

    @stateful.invariant()
    def nothing_is_lost(self) -> None:
        control_world.check(self.world)

    def teardown(self) -> None:
        try:
            control_world.heal(self.world)
            control_world.check(self.world)
        finally:
            self.world.close()


TestControl = ControlMachine.TestCase
TestControl.settings = settings(
    phases=(Phase.explicit, Phase.generate),
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)
