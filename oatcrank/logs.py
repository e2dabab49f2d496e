"""Log events as lines of key=value pairs."""

import json
import re
import sys
from typing import Any, Protocol

import eliot

from oatcrank import _library_logs, bounded_writer

UNSAFE = re.compile(r'[\s"=\\]')
SKIPPED_FIELDS = frozenset(('task_uuid', 'task_level', 'message_type'))


class LineSink(Protocol):
    """Interface of a text stream for log lines."""

    def write(self, line: str, /) -> object:
        """Write one line, including its line break."""

    def flush(self) -> None:
        """Write buffered lines."""


class KeyValueDestination:
    """Eliot destination that writes messages to a text stream."""

    def __init__(self, stream: LineSink, instance_id: str) -> None:
        """Write to a stream with an instance id on every line."""
        self._stream = stream
        self._instance_id = instance_id

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message as one line."""
        pairs = [
            f'time={message["timestamp"]:.6f}',
            f'event={message.get("message_type", "")}',
            f'instance={self._instance_id}',
        ]
        pairs.extend(
            f'{name}={_quoted(message[name])}'
            for name in message
            if name not in SKIPPED_FIELDS and name != 'timestamp'
        )
        self._stream.write(f'{" ".join(pairs)}\n')
        self._stream.flush()


def _quoted(field: object) -> str:
    text = str(field)
    if text and not UNSAFE.search(text):
        return text
    return json.dumps(text)


def start(instance_id: str) -> None:
    """Write events of this process and its libraries to standard error."""
    eliot.add_destinations(KeyValueDestination(sys.stderr, instance_id))
    _library_logs.attach()


def start_standard_output(instance_id: str) -> None:
    """Write events to standard output without blocking on its reader."""
    writer = bounded_writer.BoundedWriter(sys.stdout.fileno())
    eliot.add_destinations(KeyValueDestination(writer, instance_id))
    _library_logs.attach()


def event(name: str, **fields: object) -> None:
    """Log one event."""
    eliot.log_message(message_type=name, **fields)
