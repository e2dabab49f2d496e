"""Define the metrics of requests and attempts."""

import prometheus_client

from oatcrank import ids
from oatcrank.forwarding import quotas

# Further organisations are counted under one label.
MAX_ORGANISATION_LABELS = 64
OTHER_ORGANISATION = 'other'

REQUESTS = prometheus_client.Counter(
    'oatcrank_requests',
    'Requests of callers by how they ended.',
    ('service', 'outcome'),
)
ATTEMPTS = prometheus_client.Counter(
    'oatcrank_attempts',
    'Sends to backend servers by how far they got.',
    ('service', 'progress'),
)
STREAMS = prometheus_client.Counter(
    'oatcrank_streams',
    'Streams of backend servers by framing and by how they ended.',
    ('service', 'framing', 'ending'),
)
TAKEN_UP_STREAMS = prometheus_client.Counter(
    'oatcrank_taken_up_streams',
    'Streams that callers take up again, by whether their origin is known.',
    ('service', 'origin'),
)
PERMITS = prometheus_client.Counter(
    'oatcrank_permits',
    'Permits asked for at backend servers that have named a limit.',
    ('service', 'granted'),
)
TURNED_AWAY = prometheus_client.Counter(
    'oatcrank_turned_away',
    'Sends that backend servers turned away for a time that they named.',
    ('service',),
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'oatcrank_request_seconds',
    'Seconds from the first byte read to the end of the answer.',
    ('service',),
)
PROMPT_WAIT_SECONDS = prometheus_client.Histogram(
    'oatcrank_paced_seconds',
    'Seconds that prompts wait for their turn at a model server.',
)
FIRST_BYTE_SECONDS = prometheus_client.Histogram(
    'oatcrank_first_byte_seconds',
    'Seconds from the first byte read to the first byte of the answer.',
    ('service',),
)
RELAYED_REQUESTS = prometheus_client.Counter(
    'oatcrank_relayed_requests',
    'Requests sent through other instances by how they ended.',
    ('outcome',),
)
KEY_REFUSALS = prometheus_client.Counter(
    'oatcrank_key_refusals',
    'Requests that presented no key of an organisation.',
    ('reason',),
)
QUOTA_DECISIONS = prometheus_client.Counter(
    'oatcrank_quota_decisions',
    'Requests of organisations by whether their quota had room for them.',
    ('organisation', 'granted', 'source'),
)
_labelled_organisations: set[str] = set()


def count_quota_decision(
    organisation: ids.OrganisationName, decision: quotas.QuotaDecision
) -> None:
    """Count a decision under a bounded number of labels."""
    label: str = organisation
    if len(_labelled_organisations) < MAX_ORGANISATION_LABELS:
        _labelled_organisations.add(organisation)
    if organisation not in _labelled_organisations:
        label = OTHER_ORGANISATION
    QUOTA_DECISIONS.labels(label, decision.granted, decision.source.value).inc()
