"""Read what operators and backend servers write to the store."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.cluster import store
from oatcrank.routing import route, server_registration


class ServerGone(msgspec.Struct, frozen=True):
    """Say that a server's registration names no server to use."""

    server_id: ids.ServerId
    reason: str


Meaning = (
    route.Configuration | server_registration.Registration | ServerGone | None
)


class Codec(abc.ABC):
    """Know the keys and values that others write."""

    @abc.abstractmethod
    def read(self, item: store.Item) -> Meaning:
        """Return what an item says, or None if it says nothing."""
