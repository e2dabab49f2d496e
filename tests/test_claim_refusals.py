"""Check that a code has one status, the one that callers are told."""

import pathlib
import re
from collections.abc import Callable

import pytest

from oatcrank import _claim_refusals, ids, refusal

CALLING = pathlib.Path(__file__).parent.parent / 'docs' / 'CALLING.md'
Refuse = Callable[[ids.RequestId], refusal.Refused]


@pytest.mark.parametrize(
    'refuse',
    [
        _claim_refusals.key_reused,
        _claim_refusals.outcome_unknown,
        _claim_refusals.answer_not_kept,
        _claim_refusals.withdrawn,
    ],
)
def test_status_is_the_documented_one(refuse: Refuse) -> None:
    refused = refuse(ids.RequestId('r')).refusal
    rows = re.findall(r'^\| (.*?) \| ([\d, ]+) \|', CALLING.read_text(), re.M)
    documented = [
        status for codes, status in rows if f'`{refused.code.value}`' in codes
    ]
    assert documented == [str(int(refused.status))]
