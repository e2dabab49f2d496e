"""Test whose connections are given up when a process has no room left."""

import pytest

from oatcrank.transport import process_budget

STATE = process_budget.State
LIMITS = process_budget.Limits(
    memory_mb=4,
    descriptors=process_budget.FILE_DESCRIPTORS + 40,
)
MAX_BYTES = LIMITS.max_bytes
CALLERS = LIMITS.max_connections(process_budget.CALLER_SHARE)
OVERHEAD = process_budget.CONNECTION_BYTES


class Connection(process_budget.Holder):
    """Connection that remembers what became of it."""

    def __init__(self, budget, state=STATE.idle, group=None) -> None:
        self.given_up = 0
        self.closed = 0
        self.account = (group or budget.callers).open(self)
        self.account.enter(state)

    def give_up_waiting(self) -> None:
        self.given_up += 1

    def close_now(self) -> None:
        self.closed += 1
        self.account.close()


class Newcomer(Connection):
    """Connection that has no account yet when it is closed."""

    def close_now(self) -> None:
        self.closed += 1


def budget() -> process_budget.ProcessBudget:
    return process_budget.ProcessBudget(LIMITS)


@pytest.mark.parametrize(
    ('states', 'closed'),
    [
        ((STATE.answering, STATE.idle, STATE.closing, STATE.reading), 2),
        ((STATE.answering, STATE.reading, STATE.idle, STATE.idle), 2),
        ((STATE.answering, STATE.reading, STATE.reading), 1),
        ((STATE.answering, STATE.answering), CALLERS),
    ],
)
def test_a_new_connection_ends_one_that_is_being_answered(states, closed):
    shared = budget()
    padding = (STATE.answering,) * (CALLERS - len(states))
    connections = [Connection(shared, state) for state in (*states, *padding)]
    newcomer = Newcomer(shared)
    ended = [
        number
        for number, connection in enumerate((*connections, newcomer))
        if connection.closed
    ]
    assert ended == [closed]


def test_the_smallest_request_is_refused_for_the_largest():
    shared = budget()
    small, large, other = (Connection(shared) for _ in range(3))
    small.account.keep(1000)
    large.account.keep(MAX_BYTES // 2)
    other.account.keep(MAX_BYTES // 2 - 4 * OVERHEAD)
    assert not (small.given_up or large.given_up or other.given_up)
    small.account.keep(2 * OVERHEAD)
    assert (small.given_up, large.given_up, other.given_up) == (0, 1, 0)
    assert shared.used_bytes <= MAX_BYTES


@pytest.mark.parametrize(
    ('share_in_work', 'size', 'admitted'),
    [
        (0.8, process_budget.SMALL_REQUEST_BYTES, True),
        (0.8, process_budget.SMALL_REQUEST_BYTES + 1, False),
        (0.5, process_budget.SMALL_REQUEST_BYTES + 1, True),
        (0.99, process_budget.SMALL_REQUEST_BYTES, False),
    ],
)
def test_large_requests_leave_no_room_for_small_ones(
    share_in_work, size, admitted
):
    shared = budget()
    busy = Connection(shared)
    shared.add_work(int(MAX_BYTES * share_in_work))
    assert busy.account.begin_work(size) is admitted


def test_what_waits_keeps_a_request_from_being_answered():
    shared = budget()
    waiting, asking = Connection(shared), Connection(shared)
    waiting.account.keep(MAX_BYTES - 3 * OVERHEAD)
    assert asking.account.begin_work(process_budget.SMALL_REQUEST_BYTES)
    assert waiting.given_up


def test_a_closed_connection_still_counts():
    shared = budget()
    for _ in range(3):
        connection = Connection(shared)
        connection.account.keep(5000)
        connection.account.begin_work(7000)
        connection.account.hold_answer(9000)
        connection.account.close()
        connection.account.keep(4000)
        connection.account.close()
    assert shared.used_bytes == 0
    assert not shared.callers.count


def test_two_groups_of_connections_use_up_all_descriptors_together():
    shared = budget()
    control = [
        Connection(shared, group=shared.control)
        for _ in range(shared.control.max_connections)
    ]
    for _ in range(CALLERS):
        Connection(shared)
    assert shared.callers.count > CALLERS / 2
    count = shared.callers.count + shared.control.count
    assert count <= LIMITS.max_connections(process_budget.TOTAL_SHARE)
    assert sum(connection.closed for connection in control) > 0
