"""Read and write traces: a header line, then a JSON line per event."""

import pathlib
from typing import TypeVar

import msgspec

from emulator.replaying import trace_event, trace_header
from oatcrank import errors

Line = TypeVar('Line')


class TraceError(errors.OatcrankError):
    """Raised with the faulty line of a trace and the reason."""


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """A header and its arrivals and events, each in order of time."""

    header: trace_header.TraceHeader
    arrivals: tuple[trace_event.Arrival, ...]
    events: tuple[trace_event.Event, ...] = ()


def write(path: pathlib.Path, recorded_trace: Trace) -> None:
    """Write a trace with arrivals and events in order of time."""
    timed_lines: list[trace_event.Arrival | trace_event.Event] = [
        *recorded_trace.arrivals,
        *recorded_trace.events,
    ]
    timed_lines.sort(key=lambda line: line.at)
    lines = [
        msgspec.json.encode(line)
        for line in (recorded_trace.header, *timed_lines)
    ]
    path.write_bytes(b'\n'.join((*lines, b'')))


def read(path: pathlib.Path) -> Trace:
    """Read and validate a trace; raises TraceError."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f'{path}: {error.strerror}') from error
    if not lines:
        raise TraceError(f'{path}: line 1: the header is missing')
    header = _decode(f'{path}: line 1', lines[0], trace_header.TraceHeader)
    if header.format != trace_header.FORMAT:
        raise TraceError(f'{path}: line 1: format is not {trace_header.FORMAT}')
    line_reader = _LineReader(header)
    for number, line in enumerate(lines[1:], 2):
        line_reader.add(f'{path}: line {number}', line)
    return Trace(
        header=header,
        arrivals=tuple(line_reader.arrivals),
        events=tuple(line_reader.events),
    )


class _LineReader:
    def __init__(self, header: trace_header.TraceHeader) -> None:
        self.arrivals: list[trace_event.Arrival] = []
        self.events: list[trace_event.Event] = []
        self._model_by_name = {model.name: model for model in header.models}
        self._profile_by_name = {
            profile.name: profile for profile in header.profiles
        }
        self._last_s: float = 0

    def add(self, location: str, line: bytes) -> None:
        if b'"event"' in line:
            event = _decode(location, line, trace_event.Event)
            self._check_order(location, event.at)
            self.events.append(event)
            return
        arrival = _decode(location, line, trace_event.Arrival)
        self._check_order(location, arrival.at)
        self._check_names(location, arrival)
        self.arrivals.append(arrival)

    def _check_order(self, location: str, at_s: float) -> None:
        if at_s < self._last_s:
            raise TraceError(f'{location}: at {at_s} is before {self._last_s}')
        self._last_s = at_s

    def _check_names(self, location: str, arrival: trace_event.Arrival) -> None:
        if arrival.profile not in self._profile_by_name:
            raise TraceError(f'{location}: unknown profile {arrival.profile}')
        model = self._model_by_name.get(arrival.model)
        if model is None:
            raise TraceError(f'{location}: unknown model {arrival.model}')
        if arrival.adapter and arrival.adapter not in model.adapters:
            raise TraceError(f'{location}: unknown adapter {arrival.adapter}')
        if min(arrival.prompt, arrival.answer) < 1:
            raise TraceError(
                f'{location}: prompt and answer need at least a token'
            )


def _decode(location: str, line: bytes, line_type: type[Line]) -> Line:
    try:
        return msgspec.json.decode(line, type=line_type)
    except msgspec.MsgspecError as error:
        raise TraceError(f'{location}: {error}') from error
