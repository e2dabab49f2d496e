"""Check the demand that a controller reads from reports."""

import pytest

from oatcrank import clock, ids
from oatcrank.control import demand_report, demand_totals, model_need

MODEL = ids.ModelName('m')
NEEDS = {MODEL: model_need.ModelNeed(model=MODEL, memory_mb=1)}


def report(instance: str, arrivals: int) -> demand_report.DemandReport:
    return demand_report.DemandReport(
        instance_id=ids.InstanceId(instance),
        models=(
            demand_report.ModelDemand(
                model=MODEL,
                arrivals=arrivals,
                waiting=1,
                running=2,
                service_s=0.5,
            ),
        ),
    )


@pytest.mark.parametrize(
    ('pause_s', 'arrivals', 'waiting'),
    [
        (1, 5 + 3 + 4, 2),
        # Arrivals that were not read for long are dropped.
        (60, 4, 1),
    ],
)
def test_demand_of_two_instances(
    pause_s: float, arrivals: int, waiting: int
) -> None:
    manual_clock = clock.ManualClock()
    totals = demand_totals.DemandTotals(
        manual_clock,
        first_token_s=lambda model: 1,
        weight=lambda model: 1,
    )
    totals.add_report(report('a', 5))
    totals.add_report(report('b', 3))
    manual_clock.advance(pause_s)
    totals.add_report(report('a', 4))
    view = totals.take_demand(NEEDS)[0]
    assert view.arrivals == arrivals
    assert view.waiting == waiting
    next_view = totals.take_demand(NEEDS)[0]
    assert next_view.arrivals == 0
