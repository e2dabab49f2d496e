"""Hold a request of a trace while it is replayed."""

from emulator.replaying import trace_event, trace_head
from oatcrank.configuration import profile

MS_PER_S = 1000


class FakeRequest:
    """Know an arrival's targets and how long it would run."""

    def __init__(
        self,
        arrival: trace_event.Arrival,
        model: trace_head.TraceModel,
        asked: profile.Profile,
    ) -> None:
        """Work out the durations, in seconds."""
        self.arrival = arrival
        self.targets = asked.targets
        self.prefill_s = arrival.prompt / model.prompt_tokens_per_s
        self.between_s = 1 / model.answer_tokens_per_s
        self.service_s = self.prefill_s + arrival.answer * self.between_s

    @property
    def in_time_s(self) -> float:
        """Return the latest start that meets the first-token target."""
        patience_s = self.targets.first_token_ms / MS_PER_S
        return self.arrival.at + patience_s - self.prefill_s

    @property
    def patience_s(self) -> float:
        """Return how long after its arrival the answer is of use."""
        whole_s = self.targets.whole_answer_ms / MS_PER_S
        return max(whole_s, self.service_s)

    @property
    def useful_s(self) -> float:
        """Return the latest start whose answer is still of use."""
        return self.arrival.at + self.patience_s - self.service_s

    def meets(self, first_token_s: float, end_s: float) -> bool:
        """Say whether times since the arrival are within the targets."""
        targets = self.targets
        return (
            first_token_s * MS_PER_S <= targets.first_token_ms
            and self.between_s * MS_PER_S <= targets.between_tokens_ms
            and end_s * MS_PER_S <= targets.whole_answer_ms
        )
