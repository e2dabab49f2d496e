"""Count how the calls of a load ended and how long they took."""

import collections

import msgspec
from hdrh import histogram

from emulator import call_outcome

LONGEST_MICROSECONDS = 600_000_000
DIGITS = 3
MICROSECONDS_IN_SECOND = 1_000_000
MICROSECONDS_IN_MILLISECOND = 1000
PERCENTILES = (50, 90, 95, 99, 99.9)
EXAMPLES_KEPT = 10


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold counts by outcome and percentiles in milliseconds."""

    sent: int
    count_by_outcome: dict[str, int]
    count_by_refusal: dict[str, int]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    whole_answer_ms: dict[str, float]
    problems: list[str]


class LoadCounts:
    """Gather the outcomes of calls."""

    def __init__(self) -> None:
        """Start without a call."""
        self.sent = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._problems: list[str] = []
        self._first = _histogram()
        self._between = _histogram()
        self._whole = _histogram()

    def add(self, ended: call_outcome.CallOutcome) -> None:
        """Count one call."""
        self._outcomes[ended.outcome.value] += 1
        if ended.refused is not None:
            run_state = ended.refused.run_state.value
            self._refusals[f'{ended.refused.code.value} {run_state}'] += 1
        if ended.problem and len(self._problems) < EXAMPLES_KEPT:
            self._problems.append(ended.problem)
        if ended.first_token_s:
            _record(self._first, ended.first_token_s)
        for gap_s in ended.between_tokens_s:
            _record(self._between, gap_s)
        if ended.outcome is call_outcome.Outcome.answered:
            _record(self._whole, ended.whole_s)

    def report(self) -> LoadReport:
        """Return what was counted so far."""
        return LoadReport(
            sent=self.sent,
            count_by_outcome=dict(self._outcomes),
            count_by_refusal=dict(self._refusals),
            first_token_ms=_percentiles(self._first),
            between_tokens_ms=_percentiles(self._between),
            whole_answer_ms=_percentiles(self._whole),
            problems=self._problems,
        )


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)


def _record(seen: histogram.HdrHistogram, seconds: float) -> None:
    seen.record_value(max(1, int(seconds * MICROSECONDS_IN_SECOND)))


def _percentiles(seen: histogram.HdrHistogram) -> dict[str, float]:
    if not seen.get_total_count():
        return {}
    return {
        f'p{percentile}': seen.get_value_at_percentile(percentile)
        / MICROSECONDS_IN_MILLISECOND
        for percentile in PERCENTILES
    }
