"""Define the emulated site of Trilha Segura."""

from emulator import _site_profiles, site, site_pool
from oatcrank import ids

LOADS_PER_S = 3
CONCURRENT_LOADS = 3
ADAPTERS_IN_TRANSIT = 25
ADAPTER_MIN_MS = 5
ADAPTER_MAX_MS = 7
ADAPTER_COUNT = 80
CLOSURES = ids.ServiceName('closures')
ROUTE_STATUS = ids.ServiceName('route-status')
MODELOS_BOLETIM = site_pool.SitePool(
    name=ids.PoolName('modelos-boletim'),
    engines=6,
    models=(
        ids.ModelName('boletim-sertao'),
        ids.ModelName('boletim-serra'),
        ids.ModelName('boletim-litoral'),
        ids.ModelName('boletim-chapada'),
        ids.ModelName('boletim-noturno'),
        ids.ModelName('aviso-chuva'),
        ids.ModelName('aviso-vento'),
        ids.ModelName('aviso-rocha'),
        ids.ModelName('resumo-guias'),
        ids.ModelName('resumo-guardas'),
    ),
    service=CLOSURES,
)
PAINEL_VIAS = site_pool.SitePool(
    name=ids.PoolName('painel-vias'),
    engines=3,
    models=(
        ids.ModelName('risco-cabo'),
        ids.ModelName('risco-grampo'),
        ids.ModelName('risco-queda'),
        ids.ModelName('risco-acesso'),
        ids.ModelName('risco-clima'),
    ),
    service=ROUTE_STATUS,
)
ADAPTERS = tuple(
    ids.AdapterName(f'via-{number:02}')
    for number in range(1, ADAPTER_COUNT + 1)
)
TRILHA = site.Site(
    name='trilha',
    title='Trilha Segura Tecnologia',
    region='nordeste',
    failure_domains=(
        ids.FailureDomain('nordeste-1'),
        ids.FailureDomain('nordeste-2'),
        ids.FailureDomain('nordeste-3'),
    ),
    pools=(MODELOS_BOLETIM, PAINEL_VIAS),
    adapter_names=ADAPTERS,
    store=site.WeightStoreLimits(
        loads_per_s=LOADS_PER_S,
        concurrent=CONCURRENT_LOADS,
        adapters_in_transit=ADAPTERS_IN_TRANSIT,
        adapter_min_ms=ADAPTER_MIN_MS,
        adapter_max_ms=ADAPTER_MAX_MS,
    ),
    profiles=(
        _site_profiles.tight_targets('bulletins', MODELOS_BOLETIM, ADAPTERS),
        _site_profiles.loose_targets('hazards', PAINEL_VIAS, ADAPTERS),
        _site_profiles.plain_services('closures', (CLOSURES, ROUTE_STATUS)),
    ),
    accelerator_weight=1,
    move_weight=3,
)
