"""Send metrics by statsd; the names are listed in docs/OPERATING.md."""

import abc

import statsd


class Metrics(abc.ABC):
    """Count events and record values."""

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
        """Prefix every name."""
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
    """Drop every metric, where no statsd daemon is set."""

    def count(self, name: str, by: int = 1) -> None:
        """Drop a count."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Drop a duration."""

    def gauge(self, name: str, amount: float) -> None:
        """Drop a gauge."""
