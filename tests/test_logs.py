"""Test that every event is logged as one line of key=value pairs."""

import io

import pytest

from oatcrank import logs


@pytest.mark.parametrize(
    ('field', 'expected'),
    [
        ('plain', 'a=plain'),
        (5, 'a=5'),
        ('', 'a=""'),
        ('two words', 'a="two words"'),
        ('line\nline', r'a="line\nline"'),
        ('x="1"', r'a="x=\"1\""'),
    ],
)
def test_one_line(field: object, expected: str) -> None:
    stream = io.StringIO()
    write = logs.KeyValueDestination(stream, 'entry-1')
    write({'timestamp': 1.5, 'message_type': 'started', 'a': field})
    line = stream.getvalue()
    assert line == f'time=1.500000 event=started instance=entry-1 {expected}\n'
