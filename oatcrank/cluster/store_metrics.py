"""Define the metrics of the store and of the copy that instances keep."""

import prometheus_client

STORE_CALLS = prometheus_client.Counter(
    'oatcrank_store_calls',
    'Calls to the store by kind.',
    ('kind',),
)
RELAYED_CHANGES = prometheus_client.Counter(
    'oatcrank_relayed_changes',
    'Replies of relays that were applied.',
)
RELAY_FAILURES = prometheus_client.Counter(
    'oatcrank_relay_failures',
    'Relays that were avoided because they did not reply or know enough.',
)
IS_STORE_RELAY = prometheus_client.Gauge(
    'oatcrank_store_relay',
    'Whether this instance follows the store for others: 1 or 0.',
)
COPY_AGE_SECONDS = prometheus_client.Gauge(
    'oatcrank_store_copy_age_seconds',
    'Seconds since the store has confirmed the local copy.',
)
SILENT_WATCHES = prometheus_client.Counter(
    'oatcrank_silent_store_watches',
    'Watches given up since another instance knew more, or none answered.',
    ('newer_known',),
)
