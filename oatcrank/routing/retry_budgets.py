"""Retry budgets by service."""

import math
from collections.abc import Callable

from oatcrank import ids
from oatcrank.routing import retry_window


class RetryBudgets:
    """Limit the retries of each service, summed over all instances."""

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_s: float,
        instances: Callable[[], int],
        began_s: float = -math.inf,
    ) -> None:
        """Apply the same limit to each service.

        instances returns how many instances share the allowance; began_s is
        when the process started, in monotonic seconds.
        """
        self._began_s = began_s
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._instances = instances
        self._window_by_service: dict[
            ids.ServiceName, retry_window.RetryWindow
        ] = {}

    def set_limits(
        self, *, ratio: float, allowance: float, window_s: float
    ) -> None:
        """Change the limits of all services; spent retries stay spent."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        for window in self._window_by_service.values():
            window.set_limits(
                ratio=ratio, allowance=allowance, window_s=window_s
            )

    def record_first_send(self, service: ids.ServiceName, now_s: float) -> None:
        """Count the first send of a request."""
        self._window(service).record_first_send(now_s)

    def spend(self, service: ids.ServiceName, now_s: float) -> bool:
        """Spend one retry, or return False if none is left."""
        return self._window(service).spend(now_s, self._instances())

    def _window(self, service: ids.ServiceName) -> retry_window.RetryWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = retry_window.RetryWindow(
                ratio=self._ratio,
                allowance=self._allowance,
                window_s=self._window_s,
                began_s=self._began_s,
            )
            self._window_by_service[service] = window
        return window
