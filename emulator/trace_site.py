"""Site that a trace's header describes."""

import collections

from emulator import site, site_pool
from emulator.replaying import policies, trace, trace_header
from oatcrank.placing import placement_kind
from oatcrank.store import weight_store

MS_PER_S = 1000


class TraceSite(site.Site, frozen=True, kw_only=True):
    """A site with the figures of a trace's header."""

    header: trace_header.TraceHeader

    def catalogue(self) -> weight_store.Catalogue:
        """Return the header's models and adapters.

        In the header, the memory of a model includes its adapters.
        """
        return weight_store.Catalogue(
            models=tuple(
                weight_store.ModelWeights(
                    name=model.name,
                    pool=model.pool,
                    memory_mb=model.memory_mb
                    - site.ADAPTER_MB * len(model.adapters),
                )
                for model in self.header.models
            ),
            adapters=tuple(
                weight_store.AdapterWeights(
                    name=adapter,
                    model=model.name,
                    memory_mb=site.ADAPTER_MB,
                )
                for model in self.header.models
                for adapter in model.adapters
            ),
        )


def from_trace(
    recorded_trace: trace.Trace,
    placement: placement_kind.PlacementKind,
) -> TraceSite:
    """Return the site of a trace, with the policy weights of that site."""
    header = recorded_trace.header
    store = header.store
    weights = policies.weights_for_site(header.site)
    return TraceSite(
        name=header.site,
        title=f'{header.site} of a trace',
        region=header.region,
        failure_domains=header.failure_domains,
        pools=tuple(_pool(recorded_trace, pool) for pool in header.pools),
        adapter_names=tuple(
            adapter for model in header.models for adapter in model.adapters
        ),
        store=site.WeightStoreLimits(
            loads_per_s=store.loads_per_s,
            concurrent=store.concurrent_loads,
            adapters_in_transit=store.adapters_in_transit,
            adapter_min_ms=store.adapter_low_ms,
            adapter_max_ms=store.adapter_high_ms,
        ),
        profiles=header.profiles,
        accelerator_weight=weights.accelerator_weight,
        move_weight=weights.move_weight,
        placement=placement,
        header=header,
    )


def _pool(
    recorded_trace: trace.Trace,
    pool: trace_header.TracePool,
) -> site_pool.SitePool:
    models = [
        model
        for model in recorded_trace.header.models
        if model.pool == pool.name
    ]
    return site_pool.SitePool(
        name=pool.name,
        engines=pool.servers,
        models=tuple(model.name for model in models),
        memory_mb=pool.memory_mb,
        slots=pool.slots,
        tokens_per_s=min(model.answer_tokens_per_s for model in models),
        first_token_ms=_first_token_ms(recorded_trace, models),
    )


def _first_token_ms(
    recorded_trace: trace.Trace,
    models: list[trace_header.TraceModel],
) -> float:
    # The stand-in takes the pool's mean prompt time for every prompt.
    count_by_model = collections.Counter(
        {arrival.model: 0 for arrival in recorded_trace.arrivals}
    )
    tokens_by_model = collections.Counter(count_by_model)
    for arrival in recorded_trace.arrivals:
        count_by_model[arrival.model] += 1
        tokens_by_model[arrival.model] += arrival.prompt
    prompt_s = sum(
        tokens_by_model[model.name] / model.prompt_tokens_per_s
        for model in models
    )
    count = sum(count_by_model[model.name] for model in models)
    return max(1, MS_PER_S * prompt_s / max(1, count))
