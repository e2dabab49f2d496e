"""Format changes as a text table."""

from collections.abc import Iterable

import msgspec

from oatcrank.commands import table
from oatcrank.configuration import change
from oatcrank.configuration import profile as profiles

HEADINGS = ('number', 'when', 'who', 'kind', 'profile', 'what')


def text(changes: Iterable[change.Change]) -> str:
    """Return one line for each change."""
    return table.text(
        HEADINGS,
        (
            (
                row.number,
                row.when,
                row.who,
                row.kind.value,
                row.profile,
                _difference(row.before, row.after),
            )
            for row in changes
        ),
    )


def _difference(
    before: profiles.Profile | None,
    after: profiles.Profile | None,
) -> str:
    if before is None or after is None:
        return ''
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    return '; '.join(
        f'{name}: {old[name]} -> {new[name]}'
        for name in old
        if old[name] != new[name]
    )
