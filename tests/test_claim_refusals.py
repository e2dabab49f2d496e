"""Check that each code has the status that is documented for callers."""

import pathlib
import re
from collections.abc import Callable

import pytest

from oatcrank import ids, refusal
from oatcrank.claims import claim_refusals

CALLING = pathlib.Path(__file__).parent.parent / 'docs' / 'CALLING.md'
Refuse = Callable[[ids.RequestId], refusal.Refused]


@pytest.mark.parametrize(
    'refuse',
    [
        claim_refusals.key_reused,
        claim_refusals.outcome_unknown,
        claim_refusals.answer_not_kept,
        claim_refusals.withdrawn,
    ],
)
def test_status_is_the_documented_one(refuse: Refuse) -> None:
    refused = refuse(ids.RequestId('r')).refusal
    rows = re.findall(r'^\| (.*?) \| ([\d, ]+) \|', CALLING.read_text(), re.M)
    documented = [
        status for codes, status in rows if f'`{refused.code.value}`' in codes
    ]
    assert documented == [str(int(refused.status))]
