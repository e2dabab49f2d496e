"""Figures of the sites that traces are generated for."""

import msgspec

from emulator.replaying import trace_header
from oatcrank import ids
from oatcrank.configuration import profile, target

MEMORY_MB = 68_000
SLOTS = 8
PROMPT_TOKENS_PER_S = 4000.0
ANSWER_TOKENS_PER_S = 40.0
QUICK_FIRST_TOKEN_MS = 1500
SLOW_FIRST_TOKEN_MS = 4000
AT_MOST_ONCE_FIRST_TOKEN_MS = 2500
BETWEEN_TOKENS_MS = 60
WHOLE_ANSWER_FACTOR = 10
MODEL_SIZES_MB = (27_000, 36_000, 41_000, 33_000, 22_000)

REASONS = {
    'memory_mb': 'an 80 GB accelerator less 15% for the key-value cache',
    'slots': 'the batch at which an answer keeps its token rate',
    'models.memory_mb': (
        'weights of 11 to 40 thousand million parameters in eight or sixteen '
        'bits: a server holds one to three models, and all the servers hold '
        'each model about once'
    ),
    'models.prompt_tokens_per_s': 'usual for this class of accelerator',
    'models.answer_tokens_per_s': 'usual for one stream of a small batch',
    'store.load_s': 'concurrency by rate: what both at once imply',
    'profiles.targets': 'a person waits: a first word within 1.5 to 4 s',
    'arrivals': (
        'sessions of about a minute on a model, few models in session at '
        'once; popularity falls with rank'
    ),
}


class SiteSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a site, from which trace headers are built."""

    site: str
    region: str
    servers_by_pool: dict[ids.PoolName, int]
    models_by_pool: dict[ids.PoolName, int]
    adapters: int
    store: trace_header.TraceStore
    profiles: tuple[profile.Profile, ...]


def pools(spec: SiteSpec) -> tuple[trace_header.TracePool, ...]:
    """Return a site's pools."""
    return tuple(
        trace_header.TracePool(
            name=pool,
            servers=servers,
            memory_mb=MEMORY_MB,
            slots=SLOTS,
        )
        for pool, servers in spec.servers_by_pool.items()
    )


def models(spec: SiteSpec) -> tuple[trace_header.TraceModel, ...]:
    """Return a site's models, with the adapters distributed among them."""
    names = [
        (pool, ids.ModelName(f'{pool}-m{number}'))
        for pool, count in spec.models_by_pool.items()
        for number in range(count)
    ]
    return tuple(
        trace_header.TraceModel(
            name=name,
            pool=pool,
            memory_mb=MODEL_SIZES_MB[index % len(MODEL_SIZES_MB)],
            prompt_tokens_per_s=PROMPT_TOKENS_PER_S,
            answer_tokens_per_s=ANSWER_TOKENS_PER_S,
            adapters=_adapters(spec.adapters)[index :: len(names)],
        )
        for index, (pool, name) in enumerate(names)
    )


def _adapters(count: int) -> tuple[ids.AdapterName, ...]:
    return tuple(ids.AdapterName(f'a{number}') for number in range(count))


def _profile(
    name: str,
    spec: SiteSpec,
    first_token_ms: float,
    *,
    at_most_once: bool = False,
) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(name),
        models=tuple(model.name for model in models(spec)),
        adapters=_adapters(spec.adapters),
        targets=target.Targets(
            first_token_ms=first_token_ms,
            between_tokens_ms=BETWEEN_TOKENS_MS,
            whole_answer_ms=first_token_ms * WHOLE_ANSWER_FACTOR,
        ),
        at_most_once=at_most_once,
    )


def with_profiles(
    spec: SiteSpec,
    quick: str,
    slow: str,
    at_most_once: str,
) -> SiteSpec:
    """Return the site with a quick, a slow and an at-most-once profile."""
    return msgspec.structs.replace(
        spec,
        profiles=(
            _profile(quick, spec, QUICK_FIRST_TOKEN_MS),
            _profile(slow, spec, SLOW_FIRST_TOKEN_MS),
            _profile(
                at_most_once,
                spec,
                AT_MOST_ONCE_FIRST_TOKEN_MS,
                at_most_once=True,
            ),
        ),
    )
