"""Validate constraints of the settings beyond their types."""

import ipaddress
from collections.abc import Iterator

import msgspec

from oatcrank.settings import section, settings

MAX_PORT = 65_535
# Settings that are fractions between 0 and 1.
FRACTION_NAMES = frozenset(('retry_share',))


def find_problems(checked: settings.Settings) -> Iterator[str]:
    """Return every problem in the settings."""
    for name in ('instance_id', 'failure_domain'):
        if not getattr(checked, name):
            yield f'{name}: found ""; allowed: a name'
    yield from _find_host_problems('listen.host', checked.listen.host)
    for name in ('key_value', 'instance_list', 'weight_store'):
        address = getattr(checked.platform, name)
        yield from _find_address_problems(f'platform.{name}', address)
    for name in checked.__struct_fields__:
        field = getattr(checked, name)
        if isinstance(field, section.Section):
            yield from _find_number_problems(name, field)
    yield from _find_period_problems(checked)


def _find_period_problems(checked: settings.Settings) -> Iterator[str]:
    dead_after_ms = checked.membership.dead_after_ms
    exchange_period_ms = checked.membership.exchange_period_ms
    if dead_after_ms <= exchange_period_ms:
        yield (
            f'membership.dead_after_ms: found {dead_after_ms}; allowed: '
            + f'above exchange_period_ms, which is {exchange_period_ms}'
        )


def _find_number_problems(path: str, checked: section.Section) -> Iterator[str]:
    for name, amount in msgspec.structs.asdict(checked).items():
        if isinstance(amount, str):
            continue
        if name == 'port':
            yield from _find_port_problems(f'{path}.{name}', str(amount))
        elif name in FRACTION_NAMES:
            if not 0 <= amount <= 1:
                yield f'{path}.{name}: found {amount:g}; allowed: 0 to 1'
        elif amount <= 0:
            yield f'{path}.{name}: found {amount:g}; allowed: above 0'


def _find_address_problems(path: str, address: str) -> Iterator[str]:
    host, _, port = address.rpartition(':')
    yield from _find_host_problems(path, host.strip('[]'))
    yield from _find_port_problems(path, port)


def _find_host_problems(path: str, host: str) -> Iterator[str]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield f'{path}: found "{host}"; allowed: an IP address'


def _find_port_problems(path: str, port: str) -> Iterator[str]:
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        yield f'{path}: found port "{port}"; allowed: 1 to {MAX_PORT}'
