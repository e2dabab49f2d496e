"""Define the emulated site of Yard & Shine."""

from emulator import _site_profiles, site, site_pool
from oatcrank import ids

LOADS_PER_S = 1.5
CONCURRENT_LOADS = 7
ADAPTERS_IN_TRANSIT = 55
ADAPTER_MIN_MS = 5
ADAPTER_MAX_MS = 10
ADAPTER_COUNT = 40
BOOKINGS = ids.ServiceName('bookings')
DEPOSITS = ids.ServiceName('deposits')
WORDBAY = site_pool.SitePool(
    name=ids.PoolName('wordbay'),
    engines=5,
    models=(
        ids.ModelName('reply-booking'),
        ids.ModelName('reply-tracking'),
        ids.ModelName('reply-complaint'),
        ids.ModelName('reply-greeting'),
        ids.ModelName('reply-reminder'),
        ids.ModelName('note-exterior'),
        ids.ModelName('note-interior'),
        ids.ModelName('note-detailing'),
        ids.ModelName('note-handover'),
    ),
    service=BOOKINGS,
)
DESKCORE = site_pool.SitePool(
    name=ids.PoolName('deskcore'),
    engines=3,
    models=(
        ids.ModelName('quote-car'),
        ids.ModelName('quote-van'),
        ids.ModelName('quote-fleet'),
        ids.ModelName('message-intent'),
        ids.ModelName('message-summary'),
    ),
    service=DEPOSITS,
)
ADAPTERS = tuple(
    ids.AdapterName(f'member-{number:02}')
    for number in range(1, ADAPTER_COUNT + 1)
)
YARD = site.Site(
    name='yard',
    title='Yard & Shine Valeters Co-operative Society',
    region='jm-south',
    failure_domains=(
        ids.FailureDomain('jm-south-a'),
        ids.FailureDomain('jm-south-b'),
        ids.FailureDomain('jm-south-c'),
    ),
    pools=(WORDBAY, DESKCORE),
    adapter_names=ADAPTERS,
    store=site.WeightStoreLimits(
        loads_per_s=LOADS_PER_S,
        concurrent=CONCURRENT_LOADS,
        adapters_in_transit=ADAPTERS_IN_TRANSIT,
        adapter_min_ms=ADAPTER_MIN_MS,
        adapter_max_ms=ADAPTER_MAX_MS,
    ),
    profiles=(
        _site_profiles.tight_targets('drafts', WORDBAY, ADAPTERS),
        _site_profiles.loose_targets('quotes', DESKCORE, ADAPTERS),
        _site_profiles.plain_services('bookings', (BOOKINGS, DEPOSITS)),
    ),
    accelerator_weight=3,
    move_weight=1,
)
