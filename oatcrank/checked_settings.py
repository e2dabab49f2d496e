"""Check settings beyond their form."""

import ipaddress
import pathlib
from collections.abc import Iterator

import msgspec

from oatcrank import checked_file, errors, section, settings

HIGHEST_PORT = 65_535
HIGHEST_SHARE = 1
FREE_TO_BE_ZERO = frozenset(
    ('accelerator_weight', 'move_weight', 'retry_share', 'batch_spacing_ms'),
)


def read(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a file; raises errors.SettingsError."""
    chosen = checked_file.read(path, settings.Settings)
    faults = [f'{path}: {fault}' for fault in _faults(chosen)]
    if faults:
        raise errors.SettingsError('\n'.join(faults))
    return chosen


def _faults(chosen: settings.Settings) -> Iterator[str]:
    yield from _numbers('', chosen)
    yield from _host('listen.host', chosen.listen.host)
    yield from _port('listen.port', chosen.listen.port)
    for name in ('key_value', 'instance_list', 'weight_store'):
        yield from _address(f'platform.{name}', getattr(chosen.platform, name))
    if chosen.statsd is not None:
        yield from _host('statsd.host', chosen.statsd.host)
        yield from _port('statsd.port', chosen.statsd.port)
    if chosen.limits.retry_share > HIGHEST_SHARE:
        yield (
            f'limits.retry_share: found {chosen.limits.retry_share}, '
            'allowed 0 to 1'
        )
    if chosen.membership.dead_after_ms <= chosen.membership.exchange_period_ms:
        yield 'membership.dead_after_ms: must exceed exchange_period_ms'


def _numbers(prefix: str, found: section.Section) -> Iterator[str]:
    for field in msgspec.structs.fields(found):
        value = getattr(found, field.name)
        path = f'{prefix}{field.name}'
        if isinstance(value, section.Section):
            yield from _numbers(f'{path}.', value)
        elif isinstance(value, (int, float)):
            lowest_free = field.name in FREE_TO_BE_ZERO
            if value < 0 or (value == 0 and not lowest_free):
                lowest = '0 or more' if lowest_free else 'more than 0'
                yield f'{path}: found {value}, allowed {lowest}'


def _host(path: str, host: str) -> Iterator[str]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield f'{path}: found {host!r}, allowed an IP number'


def _port(path: str, port: int) -> Iterator[str]:
    if port > HIGHEST_PORT:
        yield f'{path}: found {port}, allowed 1 to {HIGHEST_PORT}'


def _address(path: str, address: str) -> Iterator[str]:
    host, _, port = address.rpartition(':')
    yield from _host(path, host)
    if not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        yield f'{path}: found {address!r}, allowed <IP number>:<port>'
