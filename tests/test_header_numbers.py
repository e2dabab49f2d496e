"""Test that numbers in headers are not cut to other numbers."""

import pytest

from oatcrank.cluster import store_eras
from oatcrank.platform import header_numbers, platform_protocol, store_client
from oatcrank.transport import message

LONG = '9' * 5000


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('0', 0),
        ('12', 12),
        ('00000000000000012', 12),
        ('0' * 5000, 0),
        ('1000', 1000),
        ('1001', 1000),
        ('12345678901234', 1000),
        (LONG, 1000),
        ('', None),
        ('-1', None),
        ('+1', None),
        ('1.5', None),
        ('1_0', None),
        ('\u0663', None),
        ('\u00b2', None),
    ],
)
def test_a_number_is_cut_to_another_one(text, expected):
    assert header_numbers.decode(text, 1000) == expected


@pytest.mark.parametrize(
    ('text', 'expected_s'),
    [
        (b'00000000000012000', 12),
        (b'12000', 12),
        (b'99999999999', platform_protocol.MAX_NUMBER / 1000),
    ],
)
def test_a_callers_time_is_cut_to_a_shorter_one(text, expected_s):
    raw = message.Request(
        method=b'POST',
        target=b'/words/x',
        headers=[
            (b'Host', b'words.example'),
            (b'X-Request-Id', b'request-1'),
            (b'X-Deadline-Ms', text),
        ],
        body=b'',
        began_s=0,
        peer='10.9.9.9',
        keep_alive=True,
    )
    decoded = platform_protocol.PlatformProtocol().decode_request(raw)
    assert decoded.timeout_s == expected_s


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('3', 3),
        ('0003', 3),
        (str(store_eras.MAX_ERA), store_eras.MAX_ERA),
        # Its revisions would not fit into the messages between instances.
        (str(store_eras.MAX_ERA + 1), 1),
        (LONG, 1),
        ('x', 1),
    ],
)
def test_an_era_that_makes_no_sense_ends_the_watch(text, expected):
    headers = [(b'Store-Era', text.encode())]
    assert store_client._decode_era(headers, 1) == expected
