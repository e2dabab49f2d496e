"""Measure the memory of claims in a shard's state."""

import tracemalloc

from oatcrank import ids
from oatcrank.claims import claim, claim_record, claim_state

SAMPLE_CLAIMS = 100_000
CLAIMS_PER_RECORD = 200
ADDRESS = '10.0.0.1:8080'


def bytes_per_claim() -> float:
    """Return the mean memory of an ended claim in a shard's state."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    state = claim_state.ClaimState()
    for number in range(1, SAMPLE_CLAIMS // CLAIMS_PER_RECORD + 1):
        state.apply(number, _sample(number))
    allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return allocated_bytes / len(state)


def _sample(number: int) -> claim_record.ClaimRecord:
    entries: list[claim.Entry] = []
    for index in range(CLAIMS_PER_RECORD):
        attempt = f'{number}:{index}'
        digest = claim.digest_of(ids.ProfileName('bookings'), attempt)
        entries.append(
            claim.Claim(
                digest=digest,
                attempt=attempt,
                instance_id=ids.InstanceId('entry-0'),
                incarnation=1,
                address=ADDRESS,
                fingerprint=claim.fingerprint_of(attempt.encode()),
            ),
        )
        entries.append(claim.Ended(digest=digest, attempt=attempt))
    return claim_record.ClaimRecord(
        record_id=str(number),
        tick=number,
        drop_before=0,
        entries=entries,
    )
