"""Results of the cases that prove one point."""

import msgspec


class ProofRow(msgspec.Struct, kw_only=True):
    """Faults injected for a point, and the results of its cases."""

    point: int
    faults: set[str] = msgspec.field(default_factory=set)
    passed: int = 0
    failed: int = 0
    known_red: int = 0

    @property
    def cases(self) -> int:
        """Return the number of cases run."""
        return self.passed + self.failed + self.known_red

    def line(self) -> str:
        """Return the row as a line of the table."""
        return (
            f'{self.point:>5}  {len(self.faults):>6}  {self.cases:>5}  '
            f'{self.passed:>6}  {self.failed:>6}  {self.known_red:>9}'
        )
