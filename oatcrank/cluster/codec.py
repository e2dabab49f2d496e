"""Define how configuration and server registrations are decoded."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.cluster import store
from oatcrank.routing import route, server_registration


class ServerGone(msgspec.Struct, frozen=True):
    """Result for a registration that was removed or can't be used."""

    server_id: ids.ServerId
    reason: str


Meaning = (
    route.Configuration | server_registration.Registration | ServerGone | None
)


class Codec(abc.ABC):
    """Interface for decoding items that operators and servers write."""

    @abc.abstractmethod
    def read(self, item: store.Item) -> Meaning:
        """Decode an item; return None if its key or value is not relevant."""
