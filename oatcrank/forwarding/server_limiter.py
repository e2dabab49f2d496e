"""Define how the limits that servers name are kept."""

import abc

from oatcrank.routing import limit_schedule, server_registration


class ServerLimiter(abc.ABC):
    """Interface to keep the limits of servers, summed over all instances."""

    @abc.abstractmethod
    def record_answer(
        self,
        registration: server_registration.Registration,
        requests_per_s: float | None,
        sent_s: float,
    ) -> None:
        """Record the limit that an answer names, or None for none.

        sent_s is the monotonic time at which the request was sent: an older
        answer doesn't end a limit.
        """

    @abc.abstractmethod
    async def reserve(
        self,
        registration: server_registration.Registration,
        max_wait_s: float,
    ) -> limit_schedule.Permit:
        """Reserve the place of one request at a server."""

    @abc.abstractmethod
    def return_s(
        self,
        registration: server_registration.Registration,
        wait_s: float,
    ) -> float:
        """Return when a refused caller should return, in seconds from now.

        wait_s is the time until the server has a place.
        """
