"""Figures of the sites yard and trilha."""

from emulator.replaying import site_spec, trace_header
from oatcrank import ids

YARD_ADAPTERS = 40
YARD_LOADS_PER_S = 1.5
YARD_ADAPTERS_IN_TRANSIT = 55
TRILHA_ADAPTERS = 80
TRILHA_ADAPTERS_IN_TRANSIT = 25

YARD = site_spec.with_profiles(
    site_spec.SiteSpec(
        site='yard',
        region='jm-south',
        servers_by_pool={
            ids.PoolName('wordbay'): 5,
            ids.PoolName('deskcore'): 3,
        },
        models_by_pool={
            ids.PoolName('wordbay'): 9,
            ids.PoolName('deskcore'): 5,
        },
        adapters=YARD_ADAPTERS,
        store=trace_header.TraceStore(
            loads_per_s=YARD_LOADS_PER_S,
            concurrent_loads=7,
            adapters_in_transit=YARD_ADAPTERS_IN_TRANSIT,
            adapter_low_ms=5,
            adapter_high_ms=10,
        ),
        profiles=(),
    ),
    'customer-replies',
    'job-notes',
    'bookings',
)
TRILHA = site_spec.with_profiles(
    site_spec.SiteSpec(
        site='trilha',
        region='nordeste',
        servers_by_pool={
            ids.PoolName('modelos-boletim'): 6,
            ids.PoolName('painel-vias'): 3,
        },
        models_by_pool={
            ids.PoolName('modelos-boletim'): 10,
            ids.PoolName('painel-vias'): 5,
        },
        adapters=TRILHA_ADAPTERS,
        store=trace_header.TraceStore(
            loads_per_s=3,
            concurrent_loads=3,
            adapters_in_transit=TRILHA_ADAPTERS_IN_TRANSIT,
            adapter_low_ms=5,
            adapter_high_ms=7,
        ),
        profiles=(),
    ),
    'bulletins',
    'hazard-summaries',
    'closures',
)
SPEC_BY_SITE = {spec.site: spec for spec in (YARD, TRILHA)}
