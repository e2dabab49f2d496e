"""Test that a trace's site has the figures of its header."""

import msgspec
import pytest

from emulator import (
    engine_faults,
    key_value_faults,
    site_configs,
    trace_site,
)
from emulator.replaying import trace_generator
from oatcrank.placing import (
    expected_gain_placement,
    on_demand_placement,
    placement,
    placement_kind,
    policy_factory,
)
from oatcrank.settings import (
    listen_settings,
    platform_settings,
    policy_settings,
)

SECONDS = 20


@pytest.mark.parametrize('name', trace_generator.SITES)
@pytest.mark.parametrize('kind', list(placement_kind.PlacementKind))
def test_site_matches_header(
    name: str,
    kind: placement_kind.PlacementKind,
) -> None:
    recorded = trace_generator.generate(name, 'quiet', 7, seconds=SECONDS)
    site = trace_site.from_trace(recorded, kind)
    catalogue = site.catalogue()
    memory_mb_by_model = {
        model.name: model.memory_mb for model in catalogue.models
    }
    for adapter in catalogue.adapters:
        memory_mb_by_model[adapter.model] += adapter.memory_mb
    assert memory_mb_by_model == {
        model.name: model.memory_mb for model in recorded.header.models
    }
    for pool, trace_pool in zip(site.pools, recorded.header.pools, strict=True):
        engines = site_configs.engines_of(pool, '127.0.0.1:1')
        assert len(engines) == trace_pool.servers
        assert {engine.memory_mb for engine in engines} == {
            trace_pool.memory_mb
        }
        assert {engine.slots for engine in engines} == {trace_pool.slots}
    entry = site_configs.entry_of(
        site,
        1,
        listen_settings.ListenSettings(host='127.0.0.1', port=1),
        platform_settings.PlatformSettings(
            key_value='', instance_list='', weight_store=''
        ),
    )
    assert entry.policy.placement is kind


@pytest.mark.parametrize('name', trace_generator.SITES)
def test_profiles_cover_arrivals(name: str) -> None:
    recorded = trace_generator.generate(
        name, 'adapter_wave', 7, seconds=SECONDS
    )
    assert recorded.header.seconds == SECONDS
    profile_by_name = {
        profile.name: profile for profile in recorded.header.profiles
    }
    assert recorded.arrivals
    for arrival in recorded.arrivals:
        profile = profile_by_name[arrival.profile]
        assert arrival.at < SECONDS
        assert arrival.model in profile.models
        assert not arrival.adapter or arrival.adapter in profile.adapters


@pytest.mark.parametrize(
    ('kind', 'expected_type'),
    [
        ('expected_gain', expected_gain_placement.ExpectedGainPlacement),
        ('on_demand', on_demand_placement.OnDemandPlacement),
    ],
)
def test_settings_select_placement(
    kind: str,
    expected_type: type[placement.PlacementPolicy],
) -> None:
    settings = policy_settings.PolicySettings(
        placement=placement_kind.PlacementKind(kind)
    )
    assert isinstance(policy_factory.create(settings), expected_type)


@pytest.mark.parametrize(
    ('pattern', 'faults'),
    [
        ('morning_peak', engine_faults.EngineFaults),
        ('demand_shift', key_value_faults.KeyValueFaults),
    ],
)
def test_stand_ins_accept_fault_bodies(
    pattern: str,
    faults: type[msgspec.Struct],
) -> None:
    fault_free = trace_generator.generate('yard', pattern, 7, seconds=SECONDS)
    events = trace_generator.with_faults(fault_free).events
    for event, down in zip(events, (True, False), strict=True):
        assert event.at < SECONDS
        assert msgspec.convert(event.body, faults) == faults(down=down)
