"""Write one line of key=value pairs for each eliot event."""

import json
import re
import sys
from typing import Any, Protocol

import eliot

from oatcrank import _library_logs, bounded_writer

UNSAFE = re.compile(r'[\s"=\\]')
SKIPPED_FIELDS = frozenset(('task_uuid', 'task_level', 'message_type'))


class LineSink(Protocol):
    """Take lines of text."""

    def write(self, line: str, /) -> object:
        """Take one line, with its end."""

    def flush(self) -> None:
        """Hand on what was taken."""


class KeyValueDestination:
    """Write eliot's messages to a text stream."""

    def __init__(self, stream: LineSink, instance_id: str) -> None:
        """Write to stream in the name of an instance."""
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


def _quoted(found: object) -> str:
    text = str(found)
    if text and not UNSAFE.search(text):
        return text
    return json.dumps(text)


def start(instance_id: str) -> None:
    """Send this process's events, and the libraries', to standard error."""
    eliot.add_destinations(KeyValueDestination(sys.stderr, instance_id))
    _library_logs.attach()


def start_standard_output(instance_id: str) -> None:
    """Send events to standard output, never waiting for its reader."""
    writer = bounded_writer.BoundedWriter(sys.stdout.fileno())
    eliot.add_destinations(KeyValueDestination(writer, instance_id))
    _library_logs.attach()


def event(name: str, **fields: object) -> None:
    """Log one event."""
    eliot.log_message(message_type=name, **fields)
