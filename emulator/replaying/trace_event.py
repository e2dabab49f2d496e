"""Describe what happens at the times of a trace."""

import enum

import msgspec

from oatcrank import ids

CONTROL_PATH = '/control/faults'


class Outcome(enum.Enum):
    """State how a request must end.

    answered: with its whole answer.
    settled: with its whole answer, or refused as not run.
    told: with its whole answer, or a refusal that says whether it ran.
    """

    answered = 'answered'
    settled = 'settled'
    told = 'told'


class EventKind(enum.Enum):
    """Say what an event is."""

    fault = 'fault'
    change = 'change'


class Arrival(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """Describe one request; at is in seconds from the trace's start."""

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
    """Describe a fault or change as a body that is posted to a subject.

    The subject is key_value, instance_list, weight_store, entry, or a failure
    domain, whose model engines all get the body.
    """

    at: float
    event: EventKind
    subject: str
    body: dict[str, bool | float | str]
    path: str = CONTROL_PATH
