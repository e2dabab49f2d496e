"""Test the bound on loads from the weight store."""

import pytest

from oatcrank.orders import load_ceiling


@pytest.mark.parametrize(
    ('inherited', 'own'),
    [
        (0, 5),
        (3, 5),
        (5, 3),
        (8, 0),
        # A former holder that can't be asked may have begun its whole share.
        (None, 3),
    ],
)
def test_loads_of_a_former_holder_count(inherited, own):
    ceiling = load_ceiling.LoadCeiling(1.0)
    ceiling.inherit(inherited, 0.0)
    begun = 0
    while ceiling.has_room(1.0):
        ceiling.note(1.0)
        begun += 1
    assert begun == own


def test_loads_count_for_a_window():
    ceiling = load_ceiling.LoadCeiling(0.2)
    ceiling.note(0.0)
    assert not ceiling.has_room(4.9)
    assert ceiling.has_room(5.1)
    assert ceiling.recent(5.1) == 0
