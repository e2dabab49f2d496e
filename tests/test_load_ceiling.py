"""Test the rate limit for loads from the weight store."""

import pytest

from oatcrank.orders import store_load_limit


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
    limit = store_load_limit.StoreLoadLimit(1.0)
    limit.add_inherited(inherited, 0.0)
    started = 0
    while limit.allows_load(1.0):
        limit.reserve().record_begin(1.0)
        started += 1
    assert started == own


def test_loads_count_for_a_window():
    limit = store_load_limit.StoreLoadLimit(0.2)
    limit.reserve().record_begin(0.0)
    assert not limit.allows_load(4.9)
    assert limit.allows_load(5.1)
    assert limit.counted_loads(5.1) == 0
