"""Keep a retry window for each service."""

from collections.abc import Callable

from oatcrank import ids
from oatcrank.routing import retry_window


class RetryBudgets:
    """Share one bound on retries among all instances."""

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_s: float,
        instances: Callable[[], int],
    ) -> None:
        """Bound each service alike; instances tells how many share it."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._instances = instances
        self._by_service: dict[ids.ServiceName, retry_window.RetryWindow] = {}

    def set_limits(
        self, *, ratio: float, allowance: float, window_s: float
    ) -> None:
        """Change the bound of all services; what was spent stays spent."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        for one in self._by_service.values():
            one.set_limits(ratio=ratio, allowance=allowance, window_s=window_s)

    def note_first(self, service: ids.ServiceName, now_s: float) -> None:
        """Count the first send of a request."""
        self._window(service).note_first(now_s)

    def spend(self, service: ids.ServiceName, now_s: float) -> bool:
        """Take one repeat, or return False when none is left."""
        return self._window(service).spend(now_s, self._instances())

    def _window(self, service: ids.ServiceName) -> retry_window.RetryWindow:
        found = self._by_service.get(service)
        if found is None:
            found = retry_window.RetryWindow(
                ratio=self._ratio,
                allowance=self._allowance,
                window_s=self._window_s,
            )
            self._by_service[service] = found
        return found
