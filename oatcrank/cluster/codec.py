"""Define how configuration and server registrations are decoded."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.cluster import store
from oatcrank.routing import route, server_registration


class ServerRemoval(msgspec.Struct, frozen=True):
    """Result for a registration that was removed or can't be used."""

    server_id: ids.ServerId
    reason: str


DecodedItem = (
    route.Configuration
    | server_registration.Registration
    | ServerRemoval
    | None
)


class Codec(abc.ABC):
    """Interface for decoding items that operators and servers write."""

    @abc.abstractmethod
    def decode(self, item: store.Item) -> DecodedItem:
        """Decode an item; return None if its key or value is not relevant."""
