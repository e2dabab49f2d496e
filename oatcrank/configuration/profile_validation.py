"""Validate profile values beyond their types."""

from collections.abc import Iterator

from oatcrank.configuration import profile

FULL_PERCENTILE = 100


def find_problems(checked: profile.Profile) -> Iterator[str]:
    """Yield a message for each invalid value of a profile."""
    if not checked.name or '/' in checked.name:
        yield f'name: found "{checked.name}"; allowed: a name without /'
    if not (checked.models or checked.services):
        yield 'models, services: both are empty; name at least one'
    for name in ('first_token_ms', 'between_tokens_ms', 'whole_answer_ms'):
        target_ms = getattr(checked.targets, name)
        if target_ms <= 0:
            yield f'targets.{name}: found {target_ms}; allowed: above 0'
    percentile = checked.targets.percentile
    if not 0 < percentile < FULL_PERCENTILE:
        yield (
            f'targets.percentile: found {percentile}; '
            + 'allowed: above 0 and below 100'
        )
