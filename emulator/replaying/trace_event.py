"""Timed lines of a trace: requests, faults and changes."""

import enum

import msgspec

from oatcrank import ids

CONTROL_PATH = '/control/faults'


class ExpectedOutcome(enum.Enum):
    """How a request must end.

    answered: with its whole answer.
    answered_or_not_run: or with a refusal that states that it did not run.
    answered_or_refused: or with a refusal that states whether it may have run.
    """

    answered = 'answered'
    answered_or_not_run = 'settled'
    answered_or_refused = 'told'


class EventKind(enum.Enum):
    """Kind of an event."""

    fault = 'fault'
    change = 'change'


class Arrival(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """A request; at is in seconds from the trace's start.

    prompt and answer are numbers of tokens; a request that is not repeatable
    is sent with an idempotency key.
    """

    at: float
    profile: ids.ProfileName
    model: ids.ModelName
    prompt: int
    answer: int
    adapter: ids.AdapterName = ids.AdapterName('')
    prefix: str = ''
    repeatable: bool = True
    outcome: ExpectedOutcome = ExpectedOutcome.answered_or_not_run


class Event(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """A fault or change, as a body that is posted to its subject.

    The subject is key_value, instance_list, weight_store, entry or a failure
    domain; for a failure domain, the body is posted to all its model engines.
    """

    at: float
    event: EventKind
    subject: str
    body: dict[str, bool | float | str]
    path: str = CONTROL_PATH
