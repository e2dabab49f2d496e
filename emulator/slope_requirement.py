"""Compare projections with a required limit."""

import msgspec

from emulator import slope, slope_projection


class Requirement(msgspec.Struct, frozen=True, kw_only=True):
    """Limit for the sum of projections and a constant, the rest."""

    title: str
    limit: float
    unit: str
    projections: tuple[slope_projection.Projection, ...]
    rest: float = 0
    rest_title: str = ''

    def value(self, results: slope.SlopeResults) -> float:
        """Return the projected sum in the requirement's unit."""
        return self.rest + sum(
            projection.value(results) for projection in self.projections
        )

    def breakdown(self, results: slope.SlopeResults) -> str:
        """Return the summands as text."""
        summands = [
            f'{projection.value(results):.3g} {projection.title}'
            for projection in self.projections
        ]
        if self.rest_title:
            summands.append(f'{self.rest:g} {self.rest_title}')
        return ' + '.join(summands)
