"""Timed lines of a trace: requests, faults and changes."""

import enum

import msgspec

from oatcrank import ids

CONTROL_PATH = '/control/faults'


class Outcome(enum.Enum):
    """How a request must end.

    answered: with its whole answer.
    settled: with its whole answer or a refusal that states that it didn't run.
    told: with its whole answer or a refusal that states whether it ran.
    """

    answered = 'answered'
    settled = 'settled'
    told = 'told'


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
    """A request; at is in seconds from the trace's start."""

    at: float
    profile: ids.ProfileName
    model: ids.ModelName
    prompt: int
    answer: int
    adapter: ids.AdapterName = ids.AdapterName('')
    prefix: str = ''
    repeatable: bool = True
    outcome: Outcome = Outcome.settled


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
