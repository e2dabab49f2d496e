"""Build the profiles of the emulated sites."""

from emulator import site_pool
from oatcrank import ids
from oatcrank.configuration import profile, target

BETWEEN_TOKENS_MS = 60
CALL_MS = 5000
TIGHT_FIRST_TOKEN_MS = 1500
TIGHT_WHOLE_ANSWER_MS = 15_000
LOOSE_FIRST_TOKEN_MS = 4000
LOOSE_WHOLE_ANSWER_MS = 30_000


def tight_targets(
    name: str,
    pool: site_pool.SitePool,
    adapters: tuple[ids.AdapterName, ...],
) -> profile.Profile:
    """Return a profile with tight latency targets for a pool's models."""
    return _pool_profile(
        name, pool, adapters, TIGHT_FIRST_TOKEN_MS, TIGHT_WHOLE_ANSWER_MS
    )


def loose_targets(
    name: str,
    pool: site_pool.SitePool,
    adapters: tuple[ids.AdapterName, ...],
) -> profile.Profile:
    """Return a profile with loose latency targets for a pool's models."""
    return _pool_profile(
        name, pool, adapters, LOOSE_FIRST_TOKEN_MS, LOOSE_WHOLE_ANSWER_MS
    )


def _pool_profile(
    name: str,
    pool: site_pool.SitePool,
    adapters: tuple[ids.AdapterName, ...],
    first_token_ms: float,
    whole_answer_ms: float,
) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(name),
        models=pool.models,
        adapters=adapters,
        targets=target.Targets(
            first_token_ms=first_token_ms,
            between_tokens_ms=BETWEEN_TOKENS_MS,
            whole_answer_ms=whole_answer_ms,
        ),
    )


def plain_services(
    name: str,
    services: tuple[ids.ServiceName, ...],
) -> profile.Profile:
    """Return a high-priority at-most-once profile for plain services."""
    return profile.Profile(
        name=ids.ProfileName(name),
        services=services,
        targets=target.Targets(
            first_token_ms=CALL_MS,
            between_tokens_ms=CALL_MS,
            whole_answer_ms=CALL_MS,
        ),
        at_most_once=True,
        priority=profile.Priority.high,
    )
