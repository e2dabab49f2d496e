"""Interface of the placement policies: observations in, moves out."""

import abc
import enum

import msgspec

from oatcrank import ids


class MoveKind(enum.Enum):
    """What a move does with a replica."""

    load = 'load'
    unload = 'unload'
    drain = 'drain'


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """Load, unload or drain one model on one server.

    A drained replica gets no new requests; it keeps its memory until it is
    idle and an unload follows.
    """

    kind: MoveKind
    server: ids.ServerId
    model: ids.ModelName


class ServerView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a server; free_mb is the memory that no replica reserves."""

    server: ids.ServerId
    failure_domain: ids.FailureDomain
    memory_mb: int
    free_mb: int
    slots: int
    loaded: tuple[ids.ModelName, ...] = ()
    loading: tuple[ids.ModelName, ...] = ()
    unloading: tuple[ids.ModelName, ...] = ()
    busy: tuple[ids.ModelName, ...] = ()
    draining: tuple[ids.ModelName, ...] = ()


class ModelView(msgspec.Struct, frozen=True, kw_only=True):
    """Demand for a model; memory_mb includes its adapters.

    arrivals counts the requests since the last observation, service_s is the
    time that a request occupies a slot, and first_token_s the target for the
    time to the first token.
    """

    model: ids.ModelName
    memory_mb: int
    arrivals: int
    waiting: int
    running: int
    service_s: float
    first_token_s: float
    weight: float = 1


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """State of one pool, from which its placement is decided.

    models includes every model that a server holds.  since_s is the time of the
    previous observation, load_slots how many loads may start now, and load_s
    how long a load takes.
    """

    now_s: float
    since_s: float
    load_slots: int
    load_s: float
    servers: tuple[ServerView, ...]
    models: tuple[ModelView, ...]


class PlacementPolicy(abc.ABC):
    """Base class for placement policies, which may keep state between calls."""

    @abc.abstractmethod
    def decide(self, observation: Observation) -> tuple[Move, ...]:
        """Return the moves to start now, best first.

        A load's memory must fit in free_mb, load_slots limits the number of
        loads, and a model that is busy on a server must not be unloaded there.
        A model may be drained only if it stays loaded on another server.
        """
