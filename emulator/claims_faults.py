"""Inject the faults of the claims benchmark."""

from collections.abc import Callable

from emulator import claims_fleet

SERVICE_DELAY_S = 0.003
SLOW_DELAY_S = 0.3
LOST_WRITE_COUNT = 30

Fleet = claims_fleet.ClaimsFleet
FaultSetter = Callable[[Fleet], None]


def _set_down(fleet: Fleet) -> None:
    fleet.store.down = True


def _set_slow(fleet: Fleet) -> None:
    fleet.store.delay_s = SLOW_DELAY_S


def _lose_answers(fleet: Fleet) -> None:
    fleet.store.lose_answers = LOST_WRITE_COUNT


def _lose_requests(fleet: Fleet) -> None:
    fleet.store.lose_requests = LOST_WRITE_COUNT


def _pause_one(fleet: Fleet) -> None:
    fleet.instances[0].pause()


def _split_membership(fleet: Fleet) -> None:
    for instance in fleet.instances:
        instance.peers.alive_members = (instance.this,)


def clear_faults(fleet: Fleet) -> None:
    """Clear every fault."""
    fleet.store.down = False
    fleet.store.delay_s = SERVICE_DELAY_S
    fleet.store.lose_requests = 0
    fleet.instances[0].resume()
    all_members = tuple(instance.this for instance in fleet.instances)
    for instance in fleet.instances:
        instance.peers.alive_members = all_members


def no_fault(fleet: Fleet) -> None:
    """Run without a fault."""
    clear_faults(fleet)


FAULT_BY_NAME: dict[str, FaultSetter] = {
    'none': no_fault,
    'service down': _set_down,
    'service slow (300 ms)': _set_slow,
    '30 answers lost': _lose_answers,
    '30 writes lost': _lose_requests,
    'one of 8 instances frozen': _pause_one,
    'every instance believes it owns every shard': _split_membership,
}
