"""Describe what happens at the times of a trace."""

import enum

import msgspec

from oatcrank import ids


class Outcome(enum.Enum):
    """State how a request must end.

    settled: with its whole answer, or refused as not run.
    """

    answered = 'answered'
    settled = 'settled'


class EventKind(enum.Enum):
    """Name a fault or change that is brought about during a replay."""

    domain_lost = 'domain_lost'
    domain_back = 'domain_back'
    key_value_down = 'key_value_down'
    key_value_up = 'key_value_up'
    profile_change = 'profile_change'


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
    """Describe a fault or change; subject names what it befalls."""

    at: float
    event: EventKind
    subject: str = ''
