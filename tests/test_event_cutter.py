"""Test that streams are handed on in whole events, none twice."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.forwarding import event_cutter


def event(number: int) -> bytes:
    return b'id: %d\ndata: word%d\n\n' % (number, number)


@pytest.mark.parametrize(
    ('last_id', 'chunks', 'expected', 'last_after'),
    [
        (None, [event(1) + event(2)], event(1) + event(2), 2),
        (None, [event(1)[:7], event(1)[7:]], event(1), 1),
        (None, [event(1), event(2)[:9]], event(1), 1),
        (3, [event(4)], event(4), 4),
        # A server that does not go on where it should repeats itself.
        (2, [event(1) + event(2) + event(3)], event(3), 3),
        (None, [b'data: no id\n\n'], b'data: no id\n\n', None),
        (
            None,
            [b'x-weight-versions: 2\nid: 7\ndata: x\n\n'],
            b'x-weight-versions: 2\nid: 7\ndata: x\n\n',
            7,
        ),
    ],
)
def test_feed(last_id, chunks, expected, last_after):
    cutter = event_cutter.EventCutter(last_id)
    assert b''.join(map(cutter.feed, chunks)) == expected
    assert cutter.last_id == last_after


def test_a_half_event_of_a_broken_run_is_dropped():
    cutter = event_cutter.EventCutter(None)
    got = cutter.feed(event(1) + event(2)[:6])
    cutter.restart()
    got += cutter.feed(event(2) + event(3))
    assert got == event(1) + event(2) + event(3)


def test_what_follows_the_last_event_of_a_whole_stream_is_kept():
    cutter = event_cutter.EventCutter(None)
    cutter.feed(event(1) + b'tail')
    assert cutter.rest() == b'tail'


@given(st.lists(st.integers(0, 200), max_size=12))
def test_any_cut_of_the_bytes_gives_the_same_stream(cuts):
    whole = b''.join(event(number) for number in range(1, 12))
    places = sorted({min(cut, len(whole)) for cut in cuts})
    pieces = [
        whole[start:end]
        for start, end in zip([0, *places], [*places, len(whole)], strict=True)
    ]
    cutter = event_cutter.EventCutter(None)
    assert b''.join(map(cutter.feed, pieces)) + cutter.rest() == whole
