"""Project a slope to the size that the design is for."""

import msgspec

from emulator import slope, slope_sizes


class Projection(msgspec.Struct, frozen=True, kw_only=True):
    """Projected figure: (base + each x size) x rate / per_unit."""

    role: str
    title: str
    slope_name: str
    size: slope_sizes.Sizes
    rate: slope_sizes.Rates = slope_sizes.Rates.once
    per_unit: float = 1
    unit: str

    def value(self, results: slope.SlopeResults) -> float:
        """Return the projected figure."""
        measured = results.slope(self.slope_name)
        cost = measured.base + measured.each * self.size.value.count
        return cost * self.rate.value.count / self.per_unit

    def formula(self, results: slope.SlopeResults) -> str:
        """Return the calculation as text."""
        measured = results.slope(self.slope_name)
        size = self.size.value.count
        text = f'({measured.base:g} + {measured.each:g} x {size:g})'
        if self.rate is not slope_sizes.Rates.once:
            text = f'{text} x {self.rate.value.count:g}'
        if self.per_unit != 1:
            text = f'{text} / {self.per_unit:g}'
        return text
