"""Cache the instance list for all components of a process."""

import asyncio

from oatcrank import clock
from oatcrank.membership import instance_list

Instances = tuple[instance_list.Instance, ...]


class SharedInstanceList(instance_list.InstanceList):
    """Return the last instance list until it exceeds a maximum age."""

    def __init__(
        self,
        instance_list: instance_list.InstanceList,
        clock: clock.Clock,
        *,
        max_age_s: float,
    ) -> None:
        """Read from instance_list at most once in max_age_s seconds."""
        self._instance_list = instance_list
        self._clock = clock
        self._max_age_s = max_age_s
        self._instances: Instances = ()
        self._read_s = float('-inf')
        self._lock = asyncio.Lock()

    async def read(self) -> Instances:
        """Return the listed instances; raises errors.Unavailable."""
        async with self._lock:
            if self._clock.now() - self._read_s >= self._max_age_s:
                self._instances = await self._instance_list.read()
                self._read_s = self._clock.now()
            return self._instances
