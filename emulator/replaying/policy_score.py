"""Measure how well a replay's requests were served, and at what cost."""

import collections

import msgspec
from hdrh import histogram

from oatcrank import ids

MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
US_PER_MS = 1000
STARVATION_WAIT_S = 30.0


class Tally(msgspec.Struct, kw_only=True):
    """Request counts of a profile, a model or a whole replay."""

    arrived: int = 0
    answered: int = 0
    met: int = 0
    refused: int = 0

    @property
    def attainment(self) -> float:
        """Return the share of requests that met their targets."""
        return self.met / self.arrived if self.arrived else 1


class Score:
    """Figures of a replay, updated while it runs."""

    def __init__(self) -> None:
        """Start without requests."""
        self.whole = Tally()
        self.by_profile: dict[ids.ProfileName, Tally] = {}
        self.by_model: dict[ids.ModelName, Tally] = {}
        self.moves_by_kind: collections.Counter[str] = collections.Counter()
        self.refusals_by_code: collections.Counter[str] = collections.Counter()
        self.used_server_s: float = 0
        self.seconds: float = 0
        self.longest_wait_by_model: dict[ids.ModelName, float] = {}
        self.first_token = _histogram()
        self.between_tokens = _histogram()

    @property
    def accelerators(self) -> float:
        """Return the time-weighted number of servers that held a model."""
        return self.used_server_s / self.seconds if self.seconds else 0

    @property
    def per_accelerator(self) -> float:
        """Return requests that met their targets per accelerator used."""
        return self.whole.met / self.accelerators if self.accelerators else 0

    @property
    def moves(self) -> int:
        """Return the loads, unloads and role changes of models."""
        kinds = ('load', 'unload', 'change_role')
        return sum(self.moves_by_kind[kind] for kind in kinds)

    @property
    def starved(self) -> tuple[ids.ModelName, ...]:
        """Return the models whose requests waited too long for one to run."""
        waits = sorted(self.longest_wait_by_model.items())
        return tuple(
            model for model, wait_s in waits if wait_s > STARVATION_WAIT_S
        )

    def tallies(
        self,
        profile: ids.ProfileName,
        model: ids.ModelName,
    ) -> tuple[Tally, ...]:
        """Return the tallies that count a request."""
        return (
            self.whole,
            self.by_profile.setdefault(profile, Tally()),
            self.by_model.setdefault(model, Tally()),
        )

    def record_wait(self, model: ids.ModelName, wait_s: float) -> None:
        """Record for how long a model's requests waited and none ran."""
        previous_s = self.longest_wait_by_model.get(model, 0)
        self.longest_wait_by_model[model] = max(previous_s, wait_s)

    def summary(self) -> 'Summary':
        """Return the figures in the form of reports."""
        return Summary(
            attainment=self.whole.attainment,
            accelerators=self.accelerators,
            per_accelerator=self.per_accelerator,
            moves=self.moves,
            moves_by_kind=dict(self.moves_by_kind),
            refusals_by_code=dict(self.refusals_by_code),
            requests=self.whole.arrived,
            met=self.whole.met,
            starved=self.starved,
            attainment_by_profile={
                name: tally.attainment
                for name, tally in self.by_profile.items()
            },
            attainment_by_model={
                name: tally.attainment for name, tally in self.by_model.items()
            },
            first_token_ms=_percentiles(self.first_token),
            between_tokens_ms=_percentiles(self.between_tokens),
        )


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a replay.

    per_accelerator is the number of requests that met their targets per
    accelerator used; starved are the models that waited too long.
    """

    attainment: float
    accelerators: float
    per_accelerator: float
    moves: int
    moves_by_kind: dict[str, int]
    refusals_by_code: dict[str, int]
    requests: int
    met: int
    starved: tuple[ids.ModelName, ...]
    attainment_by_profile: dict[ids.ProfileName, float]
    attainment_by_model: dict[ids.ModelName, float]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]


def record_duration(measured: histogram.HdrHistogram, seconds: float) -> None:
    """Record a duration in seconds."""
    measured.record_value(max(1, round(seconds * US_PER_S)))


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)


def _percentiles(measured: histogram.HdrHistogram) -> dict[str, float]:
    return {
        f'p{percentile:g}': (
            measured.get_value_at_percentile(percentile) / US_PER_MS
        )
        for percentile in PERCENTILES
    }
