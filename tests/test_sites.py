"""Check the demo sites, and that the example files match them."""

import pathlib

import jsonc
import msgspec
import pytest

from emulator import site, site_configs, sites
from oatcrank.configuration import profile
from oatcrank.settings import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SITES = sorted(sites.SITE_BY_NAME)


@pytest.mark.parametrize(
    ('name', 'engines', 'models', 'adapters'),
    [('yard', (5, 3), 14, 40), ('trilha', (6, 3), 15, 80)],
)
def test_sizes(
    name: str,
    engines: tuple[int, ...],
    models: int,
    adapters: int,
) -> None:
    demo_site = sites.SITE_BY_NAME[name]
    catalogue = demo_site.catalogue()
    assert tuple(pool.engines for pool in demo_site.pools) == engines
    assert len({model.name for model in catalogue.models}) == models
    assert len({adapter.name for adapter in catalogue.adapters}) == adapters
    assert len(set(demo_site.failure_domains)) == 3


@pytest.mark.parametrize('name', SITES)
def test_each_pool_holds_each_model_once(name: str) -> None:
    demo_site = sites.SITE_BY_NAME[name]
    for pool in demo_site.pools:
        free = [pool.memory_mb for _ in range(pool.engines)]
        for needed in sorted(needs(demo_site, pool.name), reverse=True):
            fits = [free_mb for free_mb in free if free_mb >= needed]
            assert fits
            free.remove(min(fits))
            free.append(min(fits) - needed)


def needs(demo_site: site.Site, pool: str) -> list[int]:
    catalogue = demo_site.catalogue()
    return [
        model.memory_mb
        + sum(
            adapter.memory_mb
            for adapter in catalogue.adapters
            if adapter.model == model.name
        )
        for model in catalogue.models
        if model.pool == pool
    ]


@pytest.mark.parametrize('name', SITES)
def test_example_profiles(name: str) -> None:
    for expected in sites.SITE_BY_NAME[name].profiles:
        text = (EXAMPLES / name / f'{expected.name}.json').read_bytes()
        assert msgspec.json.decode(text, type=profile.Profile) == expected


@pytest.mark.parametrize('name', SITES)
def test_example_settings(name: str) -> None:
    text = (EXAMPLES / name / 'settings.json').read_text(encoding='utf-8')
    example = msgspec.convert(jsonc.loads(text), type=settings.Settings)
    demo_site = sites.SITE_BY_NAME[name]
    configured = site_configs.entry_of(
        demo_site, 1, example.listen, example.platform
    )
    assert example == configured
