"""Check that a trace's site is the one that its head tells of."""

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
def test_site_is_the_heads(
    name: str,
    kind: placement_kind.PlacementKind,
) -> None:
    replayed = trace_generator.generate(name, 'quiet', 7, seconds=SECONDS)
    chosen = trace_site.of_trace(replayed, kind)
    catalogue = chosen.catalogue()
    needed = {model.name: model.memory_mb for model in catalogue.models}
    for adapter in catalogue.adapters:
        needed[adapter.model] += adapter.memory_mb
    assert needed == {
        model.name: model.memory_mb for model in replayed.head.models
    }
    for pool, told in zip(chosen.pools, replayed.head.pools, strict=True):
        engines = site_configs.engines_of(pool, '127.0.0.1:1')
        assert len(engines) == told.servers
        assert {engine.memory_mb for engine in engines} == {told.memory_mb}
        assert {engine.slots for engine in engines} == {told.slots}
    entry = site_configs.entry_of(
        chosen,
        1,
        listen_settings.ListenSettings(host='127.0.0.1', port=1),
        platform_settings.PlatformSettings(
            key_value='', instance_list='', weight_store=''
        ),
    )
    assert entry.policy.placement is kind


@pytest.mark.parametrize('name', trace_generator.SITES)
def test_profiles_cover_what_arrives(name: str) -> None:
    replayed = trace_generator.generate(
        name, 'adapter_wave', 7, seconds=SECONDS
    )
    assert replayed.head.seconds == SECONDS
    asked_by_name = {asked.name: asked for asked in replayed.head.profiles}
    assert replayed.arrivals
    for arrival in replayed.arrivals:
        asked = asked_by_name[arrival.profile]
        assert arrival.at < SECONDS
        assert arrival.model in asked.models
        assert not arrival.adapter or arrival.adapter in asked.adapters


@pytest.mark.parametrize(
    ('kind', 'made'),
    [
        ('expected_gain', expected_gain_placement.ExpectedGainPlacement),
        ('on_demand', on_demand_placement.OnDemandPlacement),
    ],
)
def test_settings_choose_the_placement(
    kind: str,
    made: type[placement.PlacementPolicy],
) -> None:
    chosen = policy_settings.PolicySettings(
        placement=placement_kind.PlacementKind(kind)
    )
    assert isinstance(policy_factory.create(chosen), made)


@pytest.mark.parametrize(
    ('spell', 'faults'),
    [
        ('morning_peak', engine_faults.EngineFaults),
        ('demand_shift', key_value_faults.KeyValueFaults),
    ],
)
def test_stand_ins_know_the_faults(
    spell: str,
    faults: type[msgspec.Struct],
) -> None:
    usual = trace_generator.generate('yard', spell, 7, seconds=SECONDS)
    events = trace_generator.with_faults(usual).events
    for event, down in zip(events, (True, False), strict=True):
        assert event.at < SECONDS
        assert msgspec.convert(event.body, faults) == faults(down=down)
