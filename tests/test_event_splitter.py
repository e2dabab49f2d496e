"""Check that only complete events are passed on, for any chunk size."""

import pytest

from oatcrank import errors
from oatcrank.entry import event_splitter

STREAM = b'data: {"index": 0}\n\ndata: {"index": 1}\n\ndata: [DONE]\n\n'


@pytest.mark.parametrize('size', [1, 2, 7, 19, len(STREAM)])
def test_feed(size: int) -> None:
    splitter = event_splitter.EventSplitter()
    chunks = [
        splitter.feed(STREAM[start : start + size])
        for start in range(0, len(STREAM), size)
    ]
    assert b''.join(chunks) == STREAM
    assert all(chunk.endswith(b'\n\n') for chunk in chunks if chunk)
    assert splitter.tokens == 2
    assert splitter.done


def test_cut_stream_is_not_done() -> None:
    splitter = event_splitter.EventSplitter()
    assert splitter.feed(STREAM[:25]) == STREAM[:20]
    assert splitter.tokens == 1
    assert not splitter.done


@pytest.mark.parametrize('before', [b'', STREAM])
def test_an_event_without_end_is_given_up(before: bytes) -> None:
    splitter = event_splitter.EventSplitter()
    splitter.feed(before)
    chunk = b'x' * event_splitter.MAX_EVENT_BYTES
    assert not splitter.feed(chunk)
    with pytest.raises(errors.Interrupted):
        splitter.feed(chunk)
