"""Check what a profile's types alone do not."""

from collections.abc import Iterator

from oatcrank.configuration import profile

FULL_PERCENTILE = 100


def faults(found: profile.Profile) -> Iterator[str]:
    """Return every fault of a profile."""
    if not found.name or '/' in found.name:
        yield f'name: found "{found.name}"; allowed: a name without /'
    if not (found.models or found.services):
        yield 'models, services: both are empty; name at least one'
    for name in ('first_token_ms', 'between_tokens_ms', 'whole_answer_ms'):
        amount = getattr(found.targets, name)
        if amount <= 0:
            yield f'targets.{name}: found {amount}; allowed: above 0'
    percentile = found.targets.percentile
    if not 0 < percentile < FULL_PERCENTILE:
        yield (
            f'targets.percentile: found {percentile}; '
            + 'allowed: above 0 and below 100'
        )
