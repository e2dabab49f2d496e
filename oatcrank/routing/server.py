"""State of one backend server as this instance knows it."""

import math

import msgspec

from oatcrank import ids
from oatcrank.routing import need, server_pause, server_registration
from oatcrank.transport import connection_pool

# The reported load of other instances decays with this time constant.
REPORT_DECAY_S = 1.0
# The counts of recent requests and failures decay with this time constant.
FAILURE_DECAY_S = 4.0
# Without new samples the mean wait decays with this time constant.
WAIT_DECAY_S = 2.0
# Weight of a new sample in the mean wait.
WAIT_WEIGHT = 0.3
INITIAL_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# Time for which a trial request is the only one at a suspended server.
TRIAL_S = 1.0
# Time for which a server that declined a need gets no requests with it.
SKIP_S = 0.1


class Server:
    """Track the contents, load, failures and suspension of a server."""

    def __init__(
        self,
        registration: server_registration.Registration,
        pause_state: server_pause.ServerPause | None = None,
    ) -> None:
        """Start with what the server has registered, and its known pause."""
        self.registration = registration
        self.pause_state = pause_state or server_pause.ServerPause()
        self.pool = connection_pool.ConnectionPool(
            registration.host, registration.port
        )
        self.in_flight = 0
        self.served = 0
        self.is_removed = False
        self._adapters_by_model = _adapters(registration)
        self._other_requests = float(0)
        self._reported = 0
        self._reported_s = -math.inf
        self._wait_s = float(0)
        self._wait_recorded_s = float(0)
        self._failures = float(0)
        self._outcomes = float(0)
        self._outcome_s = float(0)
        self._suspensions = 0
        self._suspended_until_s = -math.inf
        self._skipped_until_s_by_need: dict[need.Need, float] = {}

    @property
    def server_id(self) -> ids.ServerId:
        """Return the server's id."""
        return self.registration.server_id

    # Contents

    def update_registration(
        self, registration: server_registration.Registration
    ) -> None:
        """Apply a newer registration of the same process.

        Adapters are registered late or never, so adapters known from other
        sources are kept as long as their model is registered.
        """
        if self.registration.leaving:
            registration = msgspec.structs.replace(registration, leaving=True)
        known = self._adapters_by_model
        self._adapters_by_model = _adapters(registration)
        for model, adapters in known.items():
            if model in self._adapters_by_model:
                self._adapters_by_model[model] |= adapters
        self.registration = registration

    def record_leaving(self) -> None:
        """Send no more requests; this holds as long as the process lives."""
        self.registration = msgspec.structs.replace(
            self.registration, leaving=True
        )

    def has_version(self, required: ids.SoftwareVersion | None) -> bool:
        """Return whether a stream of the required version may continue here.

        None is a stream that has not begun.
        """
        return required in {None, self.registration.software_version}

    def holds(self, wanted: need.Need) -> bool:
        """Return whether the server is known to hold what is needed."""
        if wanted.model is None:
            return True
        adapters = self._adapters_by_model.get(wanted.model)
        if adapters is None:
            return False
        return wanted.adapter is None or wanted.adapter in adapters

    def may_serve(
        self, wanted: need.Need, required: ids.SoftwareVersion | None
    ) -> bool:
        """Return whether the server serves a need unless it is paused."""
        return (
            not self.registration.leaving
            and self.holds(wanted)
            and self.has_version(required)
        )

    def add_held(self, wanted: need.Need) -> None:
        """Record that the server holds a model or adapter."""
        if wanted.model is None:
            return
        adapters = self._adapters_by_model.setdefault(wanted.model, set())
        if wanted.adapter is not None:
            adapters.add(wanted.adapter)

    def remove_held(self, wanted: need.Need) -> None:
        """Record that the server no longer holds a model or adapter."""
        if wanted.model is None:
            return
        if wanted.adapter is None:
            self._adapters_by_model.pop(wanted.model, None)
            return
        adapters = self._adapters_by_model.get(wanted.model, set())
        adapters.discard(wanted.adapter)

    def skip_briefly(self, wanted: need.Need, now_s: float) -> None:
        """Send no request with this need for SKIP_S seconds."""
        self._skipped_until_s_by_need[wanted] = now_s + SKIP_S

    def is_skipped(self, wanted: need.Need, now_s: float) -> bool:
        """Return whether the server has just declined this need."""
        until_s = self._skipped_until_s_by_need.get(wanted)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._skipped_until_s_by_need[wanted]
            return False
        return True

    # Load

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record the load that the server reports."""
        self._other_requests = max(0, running + waiting - self.in_flight)
        self._reported = running + waiting
        self._reported_s = now_s

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests per slot."""
        age_s = now_s - self._reported_s
        other_requests = self._other_requests * math.exp(
            -age_s / REPORT_DECAY_S
        )
        return (self.in_flight + other_requests) / max(
            1, self.registration.slots
        )

    def reported_load(self, now_s: float) -> int | None:
        """Return the requests that the server has just reported, if any."""
        if now_s - self._reported_s > REPORT_DECAY_S:
            return None
        return self._reported

    def record_wait(self, waited_s: float, now_s: float) -> None:
        """Record how long a request has waited for its answer to begin."""
        decayed = self.recent_wait_s(now_s)
        self._wait_s = decayed + WAIT_WEIGHT * (waited_s - decayed)
        self._wait_recorded_s = now_s

    def recent_wait_s(self, now_s: float) -> float:
        """Return how long recent answers took to begin."""
        return self._wait_s * math.exp(
            (self._wait_recorded_s - now_s) / WAIT_DECAY_S,
        )

    # Failures

    def record_outcome(self, now_s: float, *, failed: bool) -> None:
        """Count a request that was answered or has failed."""
        self._decay(now_s)
        self._outcomes += 1
        if failed:
            self._failures += 1
        else:
            self.end_suspension()

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that failed."""
        self._decay(now_s)
        return self._failures / (self._outcomes + 1)

    def suspend(self, now_s: float) -> None:
        """Suspend the server, with exponential backoff."""
        pause_s = min(
            MAX_SUSPENSION_S,
            INITIAL_SUSPENSION_S * 2**self._suspensions,
        )
        self._suspensions = min(self._suspensions + 1, 8)
        self._suspended_until_s = now_s + pause_s

    def end_suspension(self) -> None:
        """Use the server again, since it has answered."""
        self._suspensions = 0
        self._suspended_until_s = -math.inf

    def pause(self, until_s: float, now_s: float) -> bool:
        """Send nothing until a time; return whether that begins a pause."""
        return self.pause_state.extend(until_s, now_s)

    def begin_trial(self, now_s: float) -> None:
        """Let a single request test a server that was suspended."""
        if self._suspensions:
            self._suspended_until_s = now_s + TRIAL_S

    def is_usable(self, now_s: float) -> bool:
        """Return whether it may be chosen: in use, not paused or suspended."""
        return self.accepts_sends(now_s) and now_s >= self._suspended_until_s

    def has_place(self, now_s: float) -> bool:
        """Return whether it may be chosen and has room after a pause."""
        return self.is_usable(now_s) and self.pause_state.has_place(now_s)

    def accepts_sends(self, now_s: float) -> bool:
        """Return whether a request for which it was chosen may be sent."""
        return not (
            self.is_removed
            or self.registration.leaving
            or self.pause_state.is_active(now_s)
        )

    def _decay(self, now_s: float) -> None:
        decayed = math.exp((self._outcome_s - now_s) / FAILURE_DECAY_S)
        self._failures *= decayed
        self._outcomes *= decayed
        self._outcome_s = now_s


def _adapters(
    registration: server_registration.Registration,
) -> dict[ids.ModelName, set[ids.AdapterName]]:
    return {
        model: set(adapters)
        for model, adapters in registration.adapters_by_model.items()
    }
