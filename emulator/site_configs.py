"""Configurations of the stand-ins and entry instances of a site."""

from emulator import (
    engine_config,
    plain_service_config,
    site,
    site_pool,
    weight_store_config,
)
from oatcrank import ids
from oatcrank.settings import (
    listen_settings,
    platform_settings,
    policy_settings,
    settings,
    weight_store_settings,
)

REPORT_LAG_MS = 200
SERVICE_DELAY_S = 0.02


def weight_store_of(
    site_config: site.Site,
) -> weight_store_config.WeightStoreConfig:
    """Return the configuration of the site's weight store."""
    limits = site_config.store
    return weight_store_config.WeightStoreConfig(
        loads_per_s=limits.loads_per_s,
        concurrent=limits.concurrent,
        model_load_s=limits.model_load_s,
        adapters_in_transit=limits.adapters_in_transit,
        adapter_min_ms=limits.adapter_min_ms,
        adapter_max_ms=limits.adapter_max_ms,
        catalogue=site_config.catalogue(),
    )


def engines_of(
    pool: site_pool.SitePool,
    store_address: str,
) -> tuple[engine_config.EngineConfig, ...]:
    """Return the configurations of a pool's engines."""
    return tuple(
        engine_config.EngineConfig(
            server_id=f'{pool.name}-{number}',
            pool=pool.name,
            weight_store=store_address,
            memory_mb=pool.memory_mb,
            slots=pool.slots,
            tokens_per_s=pool.tokens_per_s,
            first_token_ms=pool.first_token_ms,
            report_lag_ms=REPORT_LAG_MS,
        )
        for number in range(1, pool.engines + 1)
    )


def service_of(
    pool: site_pool.SitePool,
) -> plain_service_config.PlainServiceConfig:
    """Return the configuration of a pool's plain service."""
    return plain_service_config.PlainServiceConfig(
        server_id=f'{pool.service}-1',
        service=pool.service,
        delay_s=SERVICE_DELAY_S,
    )


def entry_of(
    site_config: site.Site,
    number: int,
    listen: listen_settings.ListenSettings,
    platform: platform_settings.PlatformSettings,
) -> settings.Settings:
    """Return the settings of an entry instance; numbers start at 1."""
    domains = site_config.failure_domains
    return settings.Settings(
        instance_id=ids.InstanceId(f'entry-{number}'),
        failure_domain=domains[(number - 1) % len(domains)],
        listen=listen,
        platform=platform,
        weight_store=weight_store_settings.WeightStoreSettings(
            loads_per_s=site_config.store.loads_per_s,
            concurrent_loads=site_config.store.concurrent,
            adapters_in_transit=site_config.store.adapters_in_transit,
        ),
        policy=policy_settings.PolicySettings(
            placement=site_config.placement,
            accelerator_weight=site_config.accelerator_weight,
            move_weight=site_config.move_weight,
        ),
    )
