"""Shape the demand of each kind of spell over time."""

import enum
import random

BURST_FACTOR = 10
BURST_START = 0.35
BURST_END = 0.7
SHIFT_AT = 0.5
SESSION_S = 60.0
POPULARITY_EXPONENT = 0.8
SHIFT_SHARE = 2
RISE_SLOPE = 2
FALL_SLOPE = 3
SWELL_LOW = 0.5
SWELL_HEIGHT = 1.5


class Spell(enum.Enum):
    """Name a kind of spell."""

    quiet = 'quiet'
    morning_peak = 'morning_peak'
    dawn_burst = 'dawn_burst'
    demand_shift = 'demand_shift'
    adapter_wave = 'adapter_wave'


REQUESTS_PER_S_BY_SPELL = {
    Spell.quiet: 2.0,
    Spell.morning_peak: 8.0,
    Spell.dawn_burst: 3.0,
    Spell.demand_shift: 4.0,
    Spell.adapter_wave: 4.0,
}
ACTIVE_SHARE_BY_SPELL = {
    Spell.quiet: 0.25,
    Spell.morning_peak: 0.5,
    Spell.dawn_burst: 0.3,
    Spell.demand_shift: 0.3,
    Spell.adapter_wave: 0.35,
}


class SpellDemand:
    """Tell each model's request rate at any time of a spell."""

    def __init__(
        self,
        spell: Spell,
        *,
        models: int,
        seconds: float,
        dice: random.Random,
    ) -> None:
        """Draw the sessions of every model."""
        self._spell = spell
        self._seconds = seconds
        self._active = ACTIVE_SHARE_BY_SPELL[spell]
        ranks = list(range(models))
        dice.shuffle(ranks)
        weights = [1 / (rank + 1) ** POPULARITY_EXPONENT for rank in ranks]
        self._share_by_model = [weight / sum(weights) for weight in weights]
        self.hot = ranks.index(models // 4)
        self._order = ranks
        self._sessions_by_model = [
            _sessions(self._active, seconds, dice) for _ in ranks
        ]

    def rate(self, model: int, at_s: float) -> float:
        """Return requests a second for a model."""
        whole = REQUESTS_PER_S_BY_SPELL[self._spell]
        usual = whole * self._share_by_model[model]
        if self._bursting(model, at_s):
            return usual * BURST_FACTOR
        if self._spell is Spell.demand_shift:
            return usual * SHIFT_SHARE * self._shifted(model, at_s)
        if not self._in_session(model, at_s):
            return 0
        return usual * self._swell(at_s) / self._active

    def in_wave(self, at_s: float) -> bool:
        """Say whether an adapter wave is under way."""
        part = at_s / self._seconds
        return (
            self._spell is Spell.adapter_wave
            and BURST_START <= part < BURST_END
        )

    def _bursting(self, model: int, at_s: float) -> bool:
        part = at_s / self._seconds
        return (
            self._spell is Spell.dawn_burst
            and model == self.hot
            and BURST_START <= part < BURST_END
        )

    def _shifted(self, model: int, at_s: float) -> bool:
        early = self._order[model] % 2 == 0
        return early is (at_s < self._seconds * SHIFT_AT)

    def _in_session(self, model: int, at_s: float) -> bool:
        sessions = self._sessions_by_model[model]
        return any(start <= at_s < end for start, end in sessions)

    def _swell(self, at_s: float) -> float:
        if self._spell is not Spell.morning_peak:
            return 1
        part = at_s / self._seconds
        rise = min(1, RISE_SLOPE * part)
        fall = min(1, FALL_SLOPE * (1 - part))
        return SWELL_LOW + SWELL_HEIGHT * rise * fall


def _sessions(
    active: float,
    seconds: float,
    dice: random.Random,
) -> list[tuple[float, float]]:
    away_s = SESSION_S * (1 - active) / active
    at_s = -dice.random() * SESSION_S / active
    sessions = []
    while at_s < seconds:
        end_s = at_s + dice.expovariate(1 / SESSION_S)
        sessions.append((at_s, end_s))
        at_s = end_s + dice.expovariate(1 / away_s)
    return sessions
