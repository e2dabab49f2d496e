"""Switch on the faults that the claims benchmark measures."""

from collections.abc import Callable

from emulator import claims_fleet

SERVICE_DELAY_S = 0.003
SLOW_DELAY_S = 0.3
LOST_WRITES = 30

Fleet = claims_fleet.ClaimsFleet
Change = Callable[[Fleet], None]


def _set_down(fleet: Fleet) -> None:
    fleet.store.down = True


def _set_slow(fleet: Fleet) -> None:
    fleet.store.delay_s = SLOW_DELAY_S


def _lose_answers(fleet: Fleet) -> None:
    fleet.store.lose_answers = LOST_WRITES


def _lose_requests(fleet: Fleet) -> None:
    fleet.store.lose_requests = LOST_WRITES


def _freeze(fleet: Fleet) -> None:
    fleet.instances[0].freeze()


def _divide(fleet: Fleet) -> None:
    for instance in fleet.instances:
        instance.peers.believed = (instance.this,)


def heal(fleet: Fleet) -> None:
    """Switch every fault off."""
    fleet.store.down = False
    fleet.store.delay_s = SERVICE_DELAY_S
    fleet.store.lose_requests = 0
    fleet.instances[0].thaw()
    everyone = tuple(instance.this for instance in fleet.instances)
    for instance in fleet.instances:
        instance.peers.believed = everyone


def nothing(fleet: Fleet) -> None:
    """Switch no fault on."""
    heal(fleet)


FAULT_BY_NAME: dict[str, Change] = {
    'none': nothing,
    'service down': _set_down,
    'service slow (300 ms)': _set_slow,
    '30 answers lost': _lose_answers,
    '30 writes lost': _lose_requests,
    'one of 8 instances frozen': _freeze,
    'all believe to own all': _divide,
}
