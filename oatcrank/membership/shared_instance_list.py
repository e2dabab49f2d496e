"""Read the instance list once for all parts of a process."""

import asyncio

from oatcrank import clock
from oatcrank.membership import instance_list

Found = tuple[instance_list.Instance, ...]


class SharedInstanceList(instance_list.InstanceList):
    """Answer from the last reading while it is young enough."""

    def __init__(
        self,
        listing: instance_list.InstanceList,
        ticker: clock.Clock,
        *,
        max_age_s: float,
    ) -> None:
        """Read through listing at most once in max_age_s seconds."""
        self._listing = listing
        self._clock = ticker
        self._max_age_s = max_age_s
        self._found: Found = ()
        self._read_at = float('-inf')
        self._turn = asyncio.Lock()

    async def read(self) -> Found:
        """Return the listed instances; raises errors.Unavailable."""
        async with self._turn:
            if self._clock.now() - self._read_at >= self._max_age_s:
                self._found = await self._listing.read()
                self._read_at = self._clock.now()
            return self._found
