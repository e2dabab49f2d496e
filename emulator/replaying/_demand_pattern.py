"""Request rates of each demand pattern over time."""

import enum
import random

BURST_FACTOR = 10
BURST_START = 0.35
BURST_END = 0.7
SHIFT_START = 0.5
SESSION_S = 60.0
POPULARITY_EXPONENT = 0.8
SHIFT_FACTOR = 2
RISE_SLOPE = 2
FALL_SLOPE = 3
PEAK_FACTOR_MIN = 0.5
PEAK_FACTOR_RANGE = 1.5


class DemandPattern(enum.Enum):
    """Course of demand over a trace; stored in traces as `spell`."""

    quiet = 'quiet'
    morning_peak = 'morning_peak'
    dawn_burst = 'dawn_burst'
    demand_shift = 'demand_shift'
    adapter_wave = 'adapter_wave'


REQUESTS_PER_S_BY_PATTERN = {
    DemandPattern.quiet: 2.0,
    DemandPattern.morning_peak: 8.0,
    DemandPattern.dawn_burst: 3.0,
    DemandPattern.demand_shift: 4.0,
    DemandPattern.adapter_wave: 4.0,
}
ACTIVE_SHARE_BY_PATTERN = {
    DemandPattern.quiet: 0.25,
    DemandPattern.morning_peak: 0.5,
    DemandPattern.dawn_burst: 0.3,
    DemandPattern.demand_shift: 0.3,
    DemandPattern.adapter_wave: 0.35,
}


class DemandRates:
    """Compute each model's request rate at any time of a pattern."""

    def __init__(
        self,
        pattern: DemandPattern,
        *,
        models: int,
        seconds: float,
        rng: random.Random,
    ) -> None:
        """Draw the sessions of all models."""
        self._pattern = pattern
        self._seconds = seconds
        self._active_share = ACTIVE_SHARE_BY_PATTERN[pattern]
        rank_by_model = list(range(models))
        rng.shuffle(rank_by_model)
        weights = [
            1 / (rank + 1) ** POPULARITY_EXPONENT for rank in rank_by_model
        ]
        self._share_by_model = [weight / sum(weights) for weight in weights]
        self._hot_model = rank_by_model.index(models // 4)
        self._rank_by_model = rank_by_model
        self._sessions_by_model = [
            _sessions(self._active_share, seconds, rng) for _ in rank_by_model
        ]

    def rate(self, model: int, at_s: float) -> float:
        """Return a model's requests per second."""
        total_rate = REQUESTS_PER_S_BY_PATTERN[self._pattern]
        mean_rate = total_rate * self._share_by_model[model]
        if self._is_bursting(model, at_s):
            return mean_rate * BURST_FACTOR
        if self._pattern is DemandPattern.demand_shift:
            return mean_rate * SHIFT_FACTOR * self._is_active_half(model, at_s)
        if not self._in_session(model, at_s):
            return 0
        return mean_rate * self._peak_factor(at_s) / self._active_share

    def in_wave(self, at_s: float) -> bool:
        """Return whether an adapter wave is in progress."""
        elapsed_share = at_s / self._seconds
        return (
            self._pattern is DemandPattern.adapter_wave
            and BURST_START <= elapsed_share < BURST_END
        )

    def _is_bursting(self, model: int, at_s: float) -> bool:
        elapsed_share = at_s / self._seconds
        return (
            self._pattern is DemandPattern.dawn_burst
            and model == self._hot_model
            and BURST_START <= elapsed_share < BURST_END
        )

    def _is_active_half(self, model: int, at_s: float) -> bool:
        active_early = self._rank_by_model[model] % 2 == 0
        return active_early is (at_s < self._seconds * SHIFT_START)

    def _in_session(self, model: int, at_s: float) -> bool:
        sessions = self._sessions_by_model[model]
        return any(start <= at_s < end for start, end in sessions)

    def _peak_factor(self, at_s: float) -> float:
        if self._pattern is not DemandPattern.morning_peak:
            return 1
        elapsed_share = at_s / self._seconds
        rise = min(1, RISE_SLOPE * elapsed_share)
        fall = min(1, FALL_SLOPE * (1 - elapsed_share))
        return PEAK_FACTOR_MIN + PEAK_FACTOR_RANGE * rise * fall


def _sessions(
    active_share: float,
    seconds: float,
    rng: random.Random,
) -> list[tuple[float, float]]:
    mean_gap_s = SESSION_S * (1 - active_share) / active_share
    at_s = -rng.random() * SESSION_S / active_share
    sessions = []
    while at_s < seconds:
        end_s = at_s + rng.expovariate(1 / SESSION_S)
        sessions.append((at_s, end_s))
        at_s = end_s + rng.expovariate(1 / mean_gap_s)
    return sessions
