"""Check what the settings' types alone do not."""

import ipaddress
from collections.abc import Iterator

import msgspec

from oatcrank.settings import section, settings

LAST_PORT = 65_535
SHARES = frozenset(('retry_share',))


def faults(found: settings.Settings) -> Iterator[str]:
    """Return every fault of the settings."""
    for name in ('instance_id', 'failure_domain'):
        if not getattr(found, name):
            yield f'{name}: found ""; allowed: a name'
    yield from _host_faults('listen.host', found.listen.host)
    for name in ('key_value', 'instance_list', 'weight_store'):
        address = getattr(found.platform, name)
        yield from _address_faults(f'platform.{name}', address)
    for name in found.__struct_fields__:
        part = getattr(found, name)
        if isinstance(part, section.Section):
            yield from _number_faults(name, part)
    yield from _order_faults(found)


def _order_faults(found: settings.Settings) -> Iterator[str]:
    known = found.membership
    if known.dead_after_ms <= known.exchange_period_ms:
        yield (
            f'membership.dead_after_ms: found {known.dead_after_ms}; allowed: '
            + f'above exchange_period_ms, which is {known.exchange_period_ms}'
        )


def _number_faults(path: str, part: section.Section) -> Iterator[str]:
    for name, amount in msgspec.structs.asdict(part).items():
        if isinstance(amount, str):
            continue
        if name == 'port':
            yield from _port_faults(f'{path}.{name}', str(amount))
        elif name in SHARES:
            if not 0 <= amount <= 1:
                yield f'{path}.{name}: found {amount:g}; allowed: 0 to 1'
        elif amount <= 0:
            yield f'{path}.{name}: found {amount:g}; allowed: above 0'


def _address_faults(path: str, address: str) -> Iterator[str]:
    host, _, port = address.rpartition(':')
    yield from _host_faults(path, host.strip('[]'))
    yield from _port_faults(path, port)


def _host_faults(path: str, host: str) -> Iterator[str]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield f'{path}: found "{host}"; allowed: an IP number'


def _port_faults(path: str, port: str) -> Iterator[str]:
    if not port.isdecimal() or not 0 < int(port) <= LAST_PORT:
        yield f'{path}: found port "{port}"; allowed: 1 to {LAST_PORT}'
