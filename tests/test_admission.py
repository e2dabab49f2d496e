"""Check which requests are refused and the delay before a retry."""

import pytest

from oatcrank.entry import admission


@pytest.mark.parametrize(
    ('start_s', 'service_s', 'remaining_s', 'retry_after_s'),
    [
        (0, 2, 15, None),
        (13, 2, 15, None),
        (13.5, 2, 15, 1.0),
        (40, 2, 15, 27.0),
    ],
)
def test_retry_after(
    start_s: float,
    service_s: float,
    remaining_s: float,
    retry_after_s: float | None,
) -> None:
    estimate = admission.TimingEstimate(
        start_s=start_s,
        service_s=service_s,
        remaining_s=remaining_s,
    )
    assert admission.retry_after_s(estimate) == retry_after_s
