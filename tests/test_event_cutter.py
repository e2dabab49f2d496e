"""Test that streams are forwarded in complete events without duplicates."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.forwarding import event_splitter


def event(number: int) -> bytes:
    return b'id: %d\ndata: word%d\n\n' % (number, number)


@pytest.mark.parametrize(
    ('last_id', 'chunks', 'expected', 'last_after'),
    [
        (None, [event(1) + event(2)], event(1) + event(2), 2),
        (None, [event(1)[:7], event(1)[7:]], event(1), 1),
        (None, [event(1), event(2)[:9]], event(1), 1),
        (3, [event(4)], event(4), 4),
        # A server that does not resume at the last event sends events twice.
        (2, [event(1) + event(2) + event(3)], event(3), 3),
        (None, [b'data: no id\n\n'], b'data: no id\n\n', None),
        (2, [event(1) + b'data: x\n\n' + event(2)], b'', 2),
        (
            2,
            [event(2) + b'data: x\n\n' + event(3)],
            b'data: x\n\n' + event(3),
            3,
        ),
        (
            1,
            [b'id: 2\r\ndata: x\r\n\r', b'\n', b'id: 3\r\n'],
            b'id: 2\r\ndata: x\r\n\r\n',
            2,
        ),
        (
            None,
            [b'x-weight-versions: 2\nid: 7\ndata: x\n\n'],
            b'x-weight-versions: 2\nid: 7\ndata: x\n\n',
            7,
        ),
    ],
)
def test_feed(last_id, chunks, expected, last_after):
    splitter = event_splitter.EventSplitter(last_id)
    assert b''.join(map(splitter.feed, chunks)) == expected
    assert splitter.last_id == last_after


def test_a_partial_event_of_an_interrupted_run_is_dropped():
    splitter = event_splitter.EventSplitter(None)
    got = splitter.feed(event(1) + event(2)[:6])
    splitter.begin_run(continues=True)
    got += splitter.feed(event(2) + event(3))
    assert got == event(1) + event(2) + event(3)


def test_the_remainder_of_a_complete_stream_is_kept():
    splitter = event_splitter.EventSplitter(None)
    splitter.feed(event(1) + b'tail')
    assert splitter.take_remainder() == b'tail'


@given(st.lists(st.integers(0, 200), max_size=12))
def test_any_split_into_chunks_gives_the_same_stream(splits):
    whole = b''.join(event(number) for number in range(1, 12))
    positions = sorted({min(split, len(whole)) for split in splits})
    chunks = [
        whole[start:end]
        for start, end in zip(
            [0, *positions], [*positions, len(whole)], strict=True
        )
    ]
    splitter = event_splitter.EventSplitter(None)
    assert (
        b''.join(map(splitter.feed, chunks)) + splitter.take_remainder()
        == whole
    )
