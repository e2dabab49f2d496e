"""Ask for what no backend server holds."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.routing import need


class Arrangement(msgspec.Struct, frozen=True):
    """Say how soon something is held, in seconds, or why it isn't ordered.

    What was refused may be asked for again after ready_in_s, unless that is
    hopeless.
    """

    ready_in_s: float
    refused: str = ''
    hopeless: bool = False


class Arranger(abc.ABC):
    """Have models and adapters loaded."""

    @abc.abstractmethod
    async def arrange(self, wanted: need.Need) -> Arrangement:
        """Have something loaded; the same wish joins one under way."""

    @abc.abstractmethod
    def note_demand(self, wanted: need.Need) -> None:
        """Count a request for a model."""

    @abc.abstractmethod
    def note_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Note that a server begins with a request for a model."""

    @abc.abstractmethod
    def note_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Note that it has ended, and how long the server was busy."""
