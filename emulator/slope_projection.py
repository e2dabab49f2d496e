"""Work out a figure at the design's size from a slope."""

import msgspec

from emulator import slope, slope_sizes


class Projection(msgspec.Struct, frozen=True, kw_only=True):
    """Multiply (base + each x size) by a rate, in units of `per_unit`."""

    role: str
    what: str
    slope_name: str
    size: slope_sizes.Sizes
    rate: slope_sizes.Rates = slope_sizes.Rates.once
    per_unit: float = 1
    unit: str

    def figure(self, book: slope.SlopeBook) -> float:
        """Return the projected figure."""
        found = book.of(self.slope_name)
        whole = found.base + found.each * self.size.value.count
        return whole * self.rate.value.count / self.per_unit

    def reckoning(self, book: slope.SlopeBook) -> str:
        """Return the multiplication as text."""
        found = book.of(self.slope_name)
        size = self.size.value.count
        text = f'({found.base:g} + {found.each:g} x {size:g})'
        if self.rate is not slope_sizes.Rates.once:
            text = f'{text} x {self.rate.value.count:g}'
        if self.per_unit != 1:
            text = f'{text} / {self.per_unit:g}'
        return text
