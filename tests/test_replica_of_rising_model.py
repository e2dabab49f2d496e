"""Replay demand that moves to one model, until a second replica is loaded.

Load pattern: requests for a model with one replica begin to come several times
a second, and each runs for seconds.  None has ended when the server is full.
"""

import placement_parts
import pytest
import routing_parts

from oatcrank.orders import demand, model_placement, runs, usage
from oatcrank.routing import need

REPORT_INTERVAL_S = 0.5
SLOTS = 16
ENGINE = routing_parts.engine(
    *(routing_parts.model(f'm{number}') for number in range(4)),
)
WANTED = need.Need(placement_parts.SERVICE, 'm0')


class Replay:
    """Report the requests for one model as they begin, run and end."""

    def __init__(self, per_s: float, run_s: float) -> None:
        self._run_s = run_s
        self._starts = [number / per_s for number in range(int(20 * per_s))]
        self.demand = demand.DemandWindow()
        self.runs = runs.Runs()

    def report(self, now_s: float) -> None:
        since_s = now_s - REPORT_INTERVAL_S
        ends = [start_s + self._run_s for start_s in self._starts]
        started = sum(since_s <= start_s < now_s for start_s in self._starts)
        ended = sum(since_s <= end_s < now_s for end_s in ends)
        running = sum(
            start_s < now_s <= start_s + self._run_s for start_s in self._starts
        )
        self.demand.extend_coverage(REPORT_INTERVAL_S, now_s)
        self.demand.note(
            demand.DemandSample(WANTED, started, ended * self._run_s), now_s
        )
        self.runs.update(
            'instance-1', [runs.Running('server-0', WANTED, running)], now_s
        )

    def second_replica_s(self) -> float | None:
        """Return when a second replica is chosen, or None."""
        states = placement_parts.fleet(['m0'], ['m1'], slots=SLOTS)
        for report in range(1, 20):
            now_s = report * REPORT_INTERVAL_S
            self.report(now_s)
            placement = model_placement.ModelPlacement(
                states,
                ENGINE,
                usage.Usage(self.demand, self.runs),
                placement_parts.SERVICE,
                now_s,
            )
            chosen = placement.choose_extra_replica(allow_store_load=True)
            if chosen is not None:
                return now_s
        return None


@pytest.mark.parametrize(
    ('per_s', 'run_s', 'within_s'),
    [
        # Half of the slots are taken after one or two seconds.
        (8, 2.5, 1.5),
        (5, 6.0, 2.0),
        # Short runs end before they fill the server: there is no hurry.
        (8, 0.1, None),
    ],
)
def test_a_model_in_rising_demand_gets_a_replica_before_its_runs_end(
    per_s, run_s, within_s
):
    chosen_s = Replay(per_s, run_s).second_replica_s()
    if within_s is None:
        assert chosen_s is None
    else:
        assert chosen_s is not None
        assert chosen_s <= within_s
