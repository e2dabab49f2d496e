"""Compare projections with a required limit."""

import msgspec

from emulator import slope, slope_projection


class Requirement(msgspec.Struct, frozen=True, kw_only=True):
    """Limit for the sum of projections and a constant, the rest."""

    title: str
    limit: float
    unit: str
    parts: tuple[slope_projection.Projection, ...]
    rest: float = 0
    rest_title: str = ''

    def figure(self, results: slope.SlopeResults) -> float:
        """Return the projected sum in the requirement's unit."""
        return self.rest + sum(part.figure(results) for part in self.parts)

    def made_of(self, results: slope.SlopeResults) -> str:
        """Return the summands as text."""
        parts = [
            f'{part.figure(results):.3g} {part.what}' for part in self.parts
        ]
        if self.rest_title:
            parts.append(f'{self.rest:g} {self.rest_title}')
        return ' + '.join(parts)
