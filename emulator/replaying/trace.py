"""Read and write traces: a head line, then one JSON line each event."""

import pathlib
from typing import TypeVar

import msgspec

from emulator.replaying import trace_event, trace_head
from oatcrank import errors

Line = TypeVar('Line')


class TraceError(errors.OatcrankError):
    """Report the line of a trace that is wrong, and why."""


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a head and, in order of time, its arrivals and events."""

    head: trace_head.TraceHead
    arrivals: tuple[trace_event.Arrival, ...]
    events: tuple[trace_event.Event, ...] = ()


def write(path: pathlib.Path, recorded: Trace) -> None:
    """Write a trace in order of time."""
    timed: list[trace_event.Arrival | trace_event.Event] = [
        *recorded.arrivals,
        *recorded.events,
    ]
    timed.sort(key=lambda line: line.at)
    lines = [msgspec.json.encode(line) for line in (recorded.head, *timed)]
    path.write_bytes(b'\n'.join((*lines, b'')))


def read(path: pathlib.Path) -> Trace:
    """Return a checked trace; raises TraceError."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f'{path}: {error.strerror}') from error
    if not lines:
        raise TraceError(f'{path}: line 1: the head is missing')
    head = _decoded(f'{path}: line 1', lines[0], trace_head.TraceHead)
    if head.format != trace_head.FORMAT:
        raise TraceError(f'{path}: line 1: format is not {trace_head.FORMAT}')
    checker = _Checker(head)
    for number, line in enumerate(lines[1:], 2):
        checker.add(f'{path}: line {number}', line)
    return Trace(
        head=head,
        arrivals=tuple(checker.arrivals),
        events=tuple(checker.events),
    )


class _Checker:
    def __init__(self, head: trace_head.TraceHead) -> None:
        self.arrivals: list[trace_event.Arrival] = []
        self.events: list[trace_event.Event] = []
        self._model_by_name = {model.name: model for model in head.models}
        self._profile_by_name = {known.name: known for known in head.profiles}
        self._last_s: float = 0

    def add(self, place: str, line: bytes) -> None:
        if b'"event"' in line:
            event = _decoded(place, line, trace_event.Event)
            self._check_time(place, event.at)
            self.events.append(event)
            return
        arrival = _decoded(place, line, trace_event.Arrival)
        self._check_time(place, arrival.at)
        self._check_names(place, arrival)
        self.arrivals.append(arrival)

    def _check_time(self, place: str, at_s: float) -> None:
        if at_s < self._last_s:
            raise TraceError(f'{place}: at {at_s} is before {self._last_s}')
        self._last_s = at_s

    def _check_names(self, place: str, arrival: trace_event.Arrival) -> None:
        if arrival.profile not in self._profile_by_name:
            raise TraceError(f'{place}: unknown profile {arrival.profile}')
        model = self._model_by_name.get(arrival.model)
        if model is None:
            raise TraceError(f'{place}: unknown model {arrival.model}')
        if arrival.adapter and arrival.adapter not in model.adapters:
            raise TraceError(f'{place}: unknown adapter {arrival.adapter}')
        if min(arrival.prompt, arrival.answer) < 1:
            raise TraceError(f'{place}: prompt and answer need a token each')


def _decoded(place: str, line: bytes, line_type: type[Line]) -> Line:
    try:
        return msgspec.json.decode(line, type=line_type)
    except msgspec.MsgspecError as error:
        raise TraceError(f'{place}: {error}') from error
