"""Define the results of a load."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Counts, and times by measure as percentiles and histograms."""

    sent: int
    count_by_outcome: dict[str, int]
    count_by_refusal: dict[str, int]
    milliseconds_by_measure: dict[str, dict[str, float]]
    histogram_by_measure: dict[str, str]
    problems: list[str]

    def text(self) -> str:
        """Return the report as lines of text."""
        lines = [
            f'sent: {self.sent}',
            _line('calls by outcome', self.count_by_outcome),
            _line('refusals by code and run state', self.count_by_refusal),
        ]
        for measure, values in self.milliseconds_by_measure.items():
            lines.append(_line(f'{measure}, ms', values))
        lines.extend(f'problem: {problem}' for problem in self.problems)
        return '\n'.join(lines)


def _line(title: str, values: dict[str, int] | dict[str, float]) -> str:
    listed = ', '.join(f'{name} {values[name]}' for name in values)
    return f'{title}: {listed or "none"}'
