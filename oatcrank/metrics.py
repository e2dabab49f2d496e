"""Record metrics by statsd; docs/OPERATING.md lists their names."""

import abc

import statsd


class Metrics(abc.ABC):
    """Interface for counters, timings and gauges."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""

    @abc.abstractmethod
    def gauge(self, name: str, amount: float) -> None:
        """Set a gauge."""


class StatsdMetrics(Metrics):
    """Send metrics over UDP to a statsd daemon."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        """Send to a daemon with a prefix for all names."""
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, milliseconds)

    def gauge(self, name: str, amount: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, amount)


class NoMetrics(Metrics):
    """Metrics that are discarded, if no statsd daemon is configured."""

    def count(self, name: str, by: int = 1) -> None:
        """Discard a count."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discard a duration."""

    def gauge(self, name: str, amount: float) -> None:
        """Discard a gauge."""
