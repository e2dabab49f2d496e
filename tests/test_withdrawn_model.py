"""Check that a loaded model without a profile is unloaded."""

import pytest

from oatcrank.placing import expected_gain_placement
from oatcrank.settings import policy_settings
from tests import control_world

SHOWN_STATES = {'loading': 0, 'loaded': 3}


@pytest.mark.parametrize('state', SHOWN_STATES)
def test_withdrawn_model_is_unloaded(state: str) -> None:
    world = control_world.World()
    world.lead(0)
    world.rounds(0)
    world.move('load', 's0', 'a')
    world.rounds(0, 1 + SHOWN_STATES[state])
    assert world.state('s0', 'a') == state
    chosen = expected_gain_placement.ExpectedGainPlacement(
        policy_settings.PolicySettings()
    )
    world.policy.decide = chosen.decide
    world.needs = {
        model: need for model, need in world.needs.items() if model != 'a'
    }
    world.rounds(0, 30)
    assert world.state('s0', 'a') != state
    world.rounds(0, 4, control_world.SETTLED_S)
    assert world.state('s0', 'a') == ''
    world.close()
