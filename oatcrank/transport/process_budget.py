"""Bound the memory and the connections that clients of a process use.

Load pattern: clients that are not trusted open very many connections, send
requests of many small pieces that they do not end, or read no answers.

All that the process keeps for a client is counted on the account of its
connection, with what the objects cost, not with the bytes that were sent.  Once
a limit is passed, this module decides whose connection is given up.
"""

import abc
import enum

import msgspec

MEGABYTE = 1_048_576
# Descriptors that a process needs for files.
FILE_DESCRIPTORS = 200
# Share of the memory of a process for what its clients send and don't read;
# the rest is for the process itself, and for garbage not yet collected.
MEMORY_SHARE = 0.25
# Shares of the connections that a process can have: a request of a caller needs
# a second connection, to a server.
CALLER_SHARE = 0.45
# All other instances may call one that holds a lease at the same time.
CONTROL_SHARE = 0.65
# The rest is for connections to servers, to other instances and to the store.
TOTAL_SHARE = 0.9
MIN_CONNECTIONS = 16
# Share that large requests may use while they are answered.
LARGE_REQUEST_SHARE = 0.75
# Largest of the small requests.
SMALL_REQUEST_BYTES = 65_536
# Memory of a connection with its parser.
CONNECTION_BYTES = 16_384
# Memory of a header besides its text, and of a request besides its headers.
HEADER_BYTES = 256
REQUEST_BYTES = 4_096


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Memory and descriptors of a process."""

    memory_mb: float = 256
    descriptors: int = 4096

    @property
    def max_bytes(self) -> int:
        """Return how much may be kept for clients."""
        return int(self.memory_mb * MEGABYTE * MEMORY_SHARE)

    def max_connections(self, share: float) -> int:
        """Return how many connections a share of the descriptors allows."""
        connections = self.descriptors - FILE_DESCRIPTORS
        return max(MIN_CONNECTIONS, int(connections * share))


class State(enum.Enum):
    """State of a connection; those that come first are given up first."""

    closing = 'its last answer has been written'
    idle = 'no request has begun'
    reading = 'a request has begun to arrive'
    answering = 'a request is being answered'


class Holder(abc.ABC):
    """Interface of a connection with an account."""

    @abc.abstractmethod
    def give_up_waiting(self) -> None:
        """Give up what waits: refuse the request that is being read.

        A request that is being answered goes on, unless the client does not
        read its answer.
        """

    @abc.abstractmethod
    def close_now(self) -> None:
        """Close the connection at once."""


class Account:
    """What is kept for one connection.

    waiting_bytes: for requests that are not being answered yet, and for answers
        that the client does not read.
    working_bytes: for a request that is being answered.
    """

    def __init__(self, group: 'ConnectionGroup', holder: Holder) -> None:
        """Open an account; use ConnectionGroup.open."""
        self._group = group
        self.holder = holder
        self.state = State.idle
        self._is_closed = False
        self.waiting_bytes = 0
        self.working_bytes = 0
        self._answer_bytes = 0

    def enter(self, state: State) -> None:
        """Change the state of the connection."""
        if state is not self.state:
            self._group.move(self, state)

    def keep(self, waiting_bytes: int) -> None:
        """Set what waits; this may give up this connection or another one."""
        if self._is_closed:
            return
        change = waiting_bytes - self.waiting_bytes
        self.waiting_bytes = waiting_bytes
        self._group.budget.add(change)

    def begin_work(self, working_bytes: int) -> bool:
        """Begin to answer a request; return whether there is room."""
        if not self._group.budget.admits_work(working_bytes):
            return False
        self._group.budget.add_work(working_bytes)
        self.working_bytes += working_bytes
        return True

    def hold_answer(self, answer_bytes: int) -> bool:
        """Set what is kept of an answer; return whether there is room."""
        change = answer_bytes - self._answer_bytes
        if change > 0 and not self._group.budget.admits_work(change):
            return False
        self._answer_bytes = answer_bytes
        self.working_bytes += change
        self._group.budget.add_work(change)
        return True

    def end_work(self) -> None:
        """Release what was kept for the request that was answered."""
        self._answer_bytes = 0
        self._group.budget.add_work(-self.working_bytes)
        self.working_bytes = 0

    def close(self) -> None:
        """Release all."""
        self.keep(0)
        self.end_work()
        self._is_closed = True
        self._group.remove(self)


class ConnectionGroup:
    """Connections that share a limit of their number."""

    def __init__(self, budget: 'ProcessBudget', max_connections: int) -> None:
        """Start without connections."""
        self.budget = budget
        self.max_connections = max_connections
        # In each state the connection that has been in it the longest is first.
        self._accounts_by_state: dict[State, dict[Account, None]] = {
            state: {} for state in State
        }

    @property
    def count(self) -> int:
        """Return the number of connections."""
        return sum(map(len, self._accounts_by_state.values()))

    def open(self, holder: Holder) -> Account:
        """Open an account; this may close another connection, or this one."""
        account = Account(self, holder)
        if self.count >= self.max_connections:
            self.close_one(account)
        elif self.budget.is_full:
            self.budget.most_crowded().close_one(account)
        self._accounts_by_state[account.state][account] = None
        self.budget.add(CONNECTION_BYTES)
        return account

    def move(self, account: Account, state: State) -> None:
        """Change the state of a connection."""
        known = self._accounts_by_state[account.state].pop(account, account)
        account.state = state
        if known is None:
            self._accounts_by_state[state][account] = None

    def remove(self, account: Account) -> None:
        """Forget a connection that is closed."""
        known = self._accounts_by_state[account.state].pop(account, account)
        if known is None:
            self.budget.add(-CONNECTION_BYTES)

    def accounts(self) -> list[Account]:
        """Return all accounts."""
        return [
            account
            for accounts in self._accounts_by_state.values()
            for account in accounts
        ]

    def close_one(self, default: Account) -> None:
        """Close the connection that is the least loss, or the default."""
        for state in (State.closing, State.idle, State.reading):
            longest = next(iter(self._accounts_by_state[state]), None)
            if longest is not None:
                longest.holder.close_now()
                self.remove(longest)
                return
        default.holder.close_now()


class ProcessBudget:
    """Memory that a process may use for its clients."""

    def __init__(self, limits: Limits) -> None:
        """Start with nothing in use."""
        self._max_bytes = limits.max_bytes
        self._bytes = 0
        self._working_bytes = 0
        self._max_connections = limits.max_connections(TOTAL_SHARE)
        self.callers = ConnectionGroup(
            self, limits.max_connections(CALLER_SHARE)
        )
        self.control = ConnectionGroup(
            self, limits.max_connections(CONTROL_SHARE)
        )

    @property
    def used_bytes(self) -> int:
        """Return what is kept for all clients."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Return whether no connection may be added."""
        count = self.callers.count + self.control.count
        return count >= self._max_connections

    def most_crowded(self) -> ConnectionGroup:
        """Return the group that uses most of its share."""
        return max(
            (self.callers, self.control),
            key=lambda group: group.count / group.max_connections,
        )

    def add(self, change: int) -> None:
        """Add to what is kept; give up what waits if it is too much."""
        self._bytes += change
        if change > 0:
            self._give_up_waiting(0)

    def add_work(self, change: int) -> None:
        """Add to what is kept for requests that are being answered."""
        self._working_bytes += change
        self._bytes += change

    def admits_work(self, working_bytes: int) -> bool:
        """Return whether there is room, after giving up what waits."""
        share = LARGE_REQUEST_SHARE
        if working_bytes <= SMALL_REQUEST_BYTES:
            share = 1
        if self._working_bytes + working_bytes > self._max_bytes * share:
            return False
        self._give_up_waiting(working_bytes)
        return self._bytes + working_bytes <= self._max_bytes

    def _give_up_waiting(self, needed_bytes: int) -> None:
        """Give up the connections that keep the most, until there is room."""
        while self._bytes + needed_bytes > self._max_bytes:
            largest = max(
                (*self.callers.accounts(), *self.control.accounts()),
                key=lambda account: account.waiting_bytes,
                default=None,
            )
            if largest is None or not largest.waiting_bytes:
                return
            largest.holder.give_up_waiting()
            largest.keep(0)


def request_bytes(header_bytes: int, header_count: int, body_bytes: int) -> int:
    """Return the memory of a request that is kept."""
    return (
        REQUEST_BYTES + header_bytes + header_count * HEADER_BYTES + body_bytes
    )
