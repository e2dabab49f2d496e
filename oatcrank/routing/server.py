"""Keep what this instance knows of one backend server."""

import math

import msgspec

from oatcrank import ids
from oatcrank.routing import need, server_registration
from oatcrank.transport import connection_pool

REPORT_DECAY_S = 1.0
FAILURE_DECAY_S = 4.0
# Without news a wait seen is forgotten over this time; each counts a share.
WAIT_DECAY_S = 2.0
WAIT_SHARE = 0.3
FIRST_SUSPENSION_S = 0.25
LONGEST_SUSPENSION_S = 2.0
TRIAL_S = 1.0
PASSED_OVER_S = 0.1


class Server:
    """Count this instance's requests at a server and how they went."""

    def __init__(self, registration: server_registration.Registration) -> None:
        """Know only what the server has registered."""
        self.registration = registration
        self.pool = connection_pool.ConnectionPool(
            registration.host, registration.port
        )
        self.in_flight = 0
        self.served = 0
        self.is_removed = False
        self._adapters_by_model = _adapters(registration)
        self._others = float(0)
        self._reported_s = -math.inf
        self._wait_s = float(0)
        self._waited_s = float(0)
        self._failures = float(0)
        self._outcomes = float(0)
        self._outcome_s = float(0)
        self._suspensions = 0
        self._suspended_until_s = -math.inf
        self._passed_until_s_by_need: dict[need.Need, float] = {}

    @property
    def server_id(self) -> ids.ServerId:
        """Return the server's id."""
        return self.registration.server_id

    # What it holds

    def update_registration(
        self, registration: server_registration.Registration
    ) -> None:
        """Take a newer registration of the same process.

        Adapters are registered late or never: those learned by other ways
        stay while their model does.
        """
        if self.registration.leaving:
            registration = msgspec.structs.replace(registration, leaving=True)
        learned = self._adapters_by_model
        self._adapters_by_model = _adapters(registration)
        for model, adapters in learned.items():
            if model in self._adapters_by_model:
                self._adapters_by_model[model] |= adapters
        self.registration = registration

    def holds(self, wanted: need.Need) -> bool:
        """Tell whether the server is believed to hold what is needed."""
        if wanted.model is None:
            return True
        adapters = self._adapters_by_model.get(wanted.model)
        if adapters is None:
            return False
        return wanted.adapter is None or wanted.adapter in adapters

    def add_held(self, wanted: need.Need) -> None:
        """Note that the server holds a model or adapter."""
        if wanted.model is None:
            return
        adapters = self._adapters_by_model.setdefault(wanted.model, set())
        if wanted.adapter is not None:
            adapters.add(wanted.adapter)

    def remove_held(self, wanted: need.Need) -> None:
        """Note that the server holds it no longer."""
        if wanted.model is None:
            return
        if wanted.adapter is None:
            self._adapters_by_model.pop(wanted.model, None)
            return
        adapters = self._adapters_by_model.get(wanted.model, set())
        adapters.discard(wanted.adapter)

    def skip_briefly(self, wanted: need.Need, now_s: float) -> None:
        """Send nothing that needs this for a moment."""
        self._passed_until_s_by_need[wanted] = now_s + PASSED_OVER_S

    def is_skipped(self, wanted: need.Need, now_s: float) -> bool:
        """Tell whether the server has just declined what needs this."""
        until_s = self._passed_until_s_by_need.get(wanted)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._passed_until_s_by_need[wanted]
            return False
        return True

    # How loaded it is

    def note_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take the load that the server tells of itself."""
        self._others = max(0, running + waiting - self.in_flight)
        self._reported_s = now_s

    def load(self, now_s: float) -> float:
        """Return the requests it probably has, per slot."""
        age_s = now_s - self._reported_s
        others = self._others * math.exp(-age_s / REPORT_DECAY_S)
        return (self.in_flight + others) / max(1, self.registration.slots)

    def note_wait(self, waited_s: float, now_s: float) -> None:
        """Take how long an answer took to begin, or has not begun."""
        kept = self.recent_wait_s(now_s)
        self._wait_s = kept + WAIT_SHARE * (waited_s - kept)
        self._waited_s = now_s

    def recent_wait_s(self, now_s: float) -> float:
        """Return how long answers took to begin lately."""
        return self._wait_s * math.exp(
            (self._waited_s - now_s) / WAIT_DECAY_S,
        )

    # How it answers

    def note_outcome(self, now_s: float, *, failed: bool) -> None:
        """Count an answer, or a failure, among the recent ones."""
        self._decay(now_s)
        self._outcomes += 1
        if failed:
            self._failures += 1
        else:
            self._suspensions = 0

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that failed."""
        self._decay(now_s)
        return self._failures / (self._outcomes + 1)

    def suspend(self, now_s: float) -> None:
        """Send nothing for a while, longer each time in a row."""
        pause_s = min(
            LONGEST_SUSPENSION_S,
            FIRST_SUSPENSION_S * 2**self._suspensions,
        )
        self._suspensions = min(self._suspensions + 1, 8)
        self._suspended_until_s = now_s + pause_s

    def begin_trial(self, now_s: float) -> None:
        """Let only the next request try a server that was suspended."""
        if self._suspensions:
            self._suspended_until_s = now_s + TRIAL_S

    def is_usable(self, now_s: float) -> bool:
        """Tell whether requests may be sent."""
        return not (
            self.is_removed
            or self.registration.leaving
            or now_s < self._suspended_until_s
        )

    def _decay(self, now_s: float) -> None:
        kept = math.exp((self._outcome_s - now_s) / FAILURE_DECAY_S)
        self._failures *= kept
        self._outcomes *= kept
        self._outcome_s = now_s


def _adapters(
    registration: server_registration.Registration,
) -> dict[ids.ModelName, set[ids.AdapterName]]:
    return {
        model: set(adapters)
        for model, adapters in registration.adapters_by_model.items()
    }
