"""Test the rate limit for loads from the weight store."""

import pytest
import routing_parts

from oatcrank.orders import store_load_limit, store_load_limits

CEILING = store_load_limit.Ceiling()


@pytest.mark.parametrize(
    ('inherited', 'own'),
    [
        (0, 5),
        (3, 5),
        (5, 3),
        (8, 0),
        # A former holder that can't be asked counts with its whole limit.
        (None, 3),
    ],
)
def test_loads_of_a_former_holder_count(inherited, own):
    limit = store_load_limit.StoreLoadLimit(1.0, CEILING)
    former = (
        None if inherited is None else store_load_limit.CountedLoads(inherited)
    )
    limit.add_inherited(former, 0.0)
    started = 0
    while limit.allows_load(1.0):
        limit.reserve().record_begin(1.0)
        started += 1
    assert started == own


def test_loads_count_for_a_window():
    limit = store_load_limit.StoreLoadLimit(0.2, CEILING)
    limit.reserve().record_begin(0.0)
    assert not limit.allows_load(4.9)
    assert limit.allows_load(5.1)
    assert limit.counted_loads(5.1).total == 0


@pytest.mark.parametrize('open_loads', [0, 2, 5])
def test_open_loads_count_longer(open_loads):
    """Their servers may begin them until the latest time of a late order."""
    limit = store_load_limit.StoreLoadLimit(1.0, CEILING)
    limit.add_inherited(store_load_limit.CountedLoads(5, open_loads), 0.0)
    late_s = store_load_limit.LATE_ORDER_S
    window_s = CEILING.window_s
    assert limit.counted_loads(window_s + 0.1) == (
        store_load_limit.CountedLoads(open_loads, open_loads)
    )
    assert limit.counted_loads(late_s + 0.1) == (
        store_load_limit.CountedLoads(open_loads, 0)
    )
    assert limit.counted_loads(late_s + window_s + 0.1).total == 0


@pytest.mark.parametrize(
    ('window_s', 'overage', 'allowed'),
    [
        (5.0, 1.1, 10),
        (10.0, 1.1, 20),
        (2.0, 1.1, 4),
        (5.0, 0.5, 5),
    ],
)
def test_the_ceiling_of_the_settings_applies(window_s, overage, allowed):
    """One window of five seconds was assumed wherever the store was."""
    ceiling = store_load_limit.Ceiling(window_s=window_s, overage=overage)
    limits = store_load_limits.StoreLoadLimits()
    engine = routing_parts.engine(store_loads_per_s=2.0)
    limit = limits.of_service(routing_parts.SERVICE, engine)
    limits.apply_ceiling(ceiling)
    started = 0
    while limit.allows_load(0.0):
        limit.reserve().record_begin(0.0)
        started += 1
    assert started == allowed
    assert not limit.allows_load(window_s - 0.1)
    assert limit.allows_load(window_s + 0.1)
