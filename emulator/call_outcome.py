"""Define how a call ended for its caller."""

import enum

import msgspec

from oatcrank import refusal


class Outcome(enum.Enum):
    """Kind of result of a call."""

    answered = 'answered'
    refused = 'refused'
    interrupted = 'interrupted'
    wrong = 'wrong'
    unreachable = 'unreachable'


class CallOutcome(msgspec.Struct, kw_only=True):
    """Answer of a call, or the reason for its failure."""

    outcome: Outcome
    address: str = ''
    text: str = ''
    problem: str = ''
    refused: refusal.Refusal | None = None
    first_token_s: float = 0
    between_tokens_s: list[float] = msgspec.field(default_factory=list)
    whole_s: float = 0
