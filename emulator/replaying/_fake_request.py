"""Simulated request of a trace."""

from emulator.replaying import trace_event, trace_header
from oatcrank.configuration import profile

MS_PER_S = 1000


class FakeRequest:
    """An arrival with its latency targets and service times."""

    def __init__(
        self,
        arrival: trace_event.Arrival,
        model: trace_header.TraceModel,
        served_profile: profile.Profile,
    ) -> None:
        """Compute the service times, in seconds."""
        self.arrival = arrival
        self.targets = served_profile.targets
        self.prefill_s = arrival.prompt / model.prompt_tokens_per_s
        self.between_tokens_s = 1 / model.answer_tokens_per_s
        self.service_s = self.prefill_s + arrival.answer * self.between_tokens_s

    @property
    def first_token_deadline_s(self) -> float:
        """Return the latest start that meets the first-token target."""
        target_s = self.targets.first_token_ms / MS_PER_S
        return self.arrival.at + target_s - self.prefill_s

    @property
    def answer_timeout_s(self) -> float:
        """Return for how long after the arrival an answer is useful.

        It is never shorter than the service time: a request that starts at
        once is not refused.
        """
        target_s = self.targets.whole_answer_ms / MS_PER_S
        return max(target_s, self.service_s)

    @property
    def answer_deadline_s(self) -> float:
        """Return the latest start for which the answer is still useful."""
        return self.arrival.at + self.answer_timeout_s - self.service_s

    def meets_targets(self, first_token_s: float, end_s: float) -> bool:
        """Return whether times since the arrival are within the targets."""
        targets = self.targets
        return (
            first_token_s * MS_PER_S <= targets.first_token_ms
            and self.between_tokens_s * MS_PER_S <= targets.between_tokens_ms
            and end_s * MS_PER_S <= targets.whole_answer_ms
        )
