"""Count the outcomes of a load's calls and measure their latencies."""

import collections

from hdrh import histogram

from emulator import call_outcome, load_report

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
PERCENTILES = (50, 90, 95, 99, 99.9)
MAX_PROBLEMS = 10
SENT_LATE = 'sent late'
FIRST_TOKEN = 'first token'
BETWEEN_TOKENS = 'between tokens'
WHOLE_ANSWER = 'whole answer'


class LoadCounts:
    """Outcomes and latencies of calls."""

    def __init__(self) -> None:
        """Create empty counts."""
        self.sent = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._problems: list[str] = []
        self._histogram_by_measure = {
            measure: histogram.HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            for measure in (
                SENT_LATE,
                FIRST_TOKEN,
                BETWEEN_TOKENS,
                WHOLE_ANSWER,
            )
        }

    def count_sent(self, late_s: float) -> None:
        """Count a call that was sent late_s seconds after it was due."""
        self.sent += 1
        self._record(SENT_LATE, late_s)

    def count_outcome(self, outcome: call_outcome.CallOutcome) -> None:
        """Count the outcome of a call."""
        self._outcomes[outcome.outcome.value] += 1
        if outcome.refused is not None:
            run_state = outcome.refused.run_state.value
            self._refusals[f'{outcome.refused.code.value} {run_state}'] += 1
        if outcome.problem:
            self._keep_problems([outcome.problem])
        if outcome.first_token_s:
            self._record(FIRST_TOKEN, outcome.first_token_s)
        for gap_s in outcome.between_tokens_s:
            self._record(BETWEEN_TOKENS, gap_s)
        if outcome.outcome is call_outcome.Outcome.answered:
            self._record(WHOLE_ANSWER, outcome.whole_s)

    def merge(self, other: load_report.LoadReport) -> None:
        """Add the counts of another process."""
        self.sent += other.sent
        self._outcomes.update(other.count_by_outcome)
        self._refusals.update(other.count_by_refusal)
        self._keep_problems(other.problems)
        for measure, encoded in other.histogram_by_measure.items():
            self._histogram_by_measure[measure].decode_and_add(encoded)

    def report(self) -> load_report.LoadReport:
        """Return the counts so far."""
        return load_report.LoadReport(
            sent=self.sent,
            count_by_outcome=dict(self._outcomes),
            count_by_refusal=dict(self._refusals),
            milliseconds_by_measure={
                measure: _percentiles(latencies)
                for measure, latencies in self._histogram_by_measure.items()
            },
            histogram_by_measure={
                measure: latencies.encode().decode()
                for measure, latencies in self._histogram_by_measure.items()
            },
            problems=self._problems,
        )

    def _record(self, measure: str, seconds: float) -> None:
        microseconds = max(1, int(seconds * US_PER_S))
        self._histogram_by_measure[measure].record_value(microseconds)

    def _keep_problems(self, problems: list[str]) -> None:
        self._problems = [*self._problems, *problems][:MAX_PROBLEMS]


def _percentiles(latencies: histogram.HdrHistogram) -> dict[str, float]:
    if not latencies.get_total_count():
        return {}
    return {
        f'p{percentile}': latencies.get_value_at_percentile(percentile)
        / US_PER_MS
        for percentile in PERCENTILES
    }
