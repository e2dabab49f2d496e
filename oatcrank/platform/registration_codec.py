"""Decode the registrations of workers in the platform's store."""

import msgspec

from oatcrank import decoding, ids, logs
from oatcrank.cluster import codec
from oatcrank.platform import registration_messages
from oatcrank.routing import server_registration

STATES = frozenset(('ready', 'draining'))
MAX_PORT = 65535
PORTS = range(1, MAX_PORT + 1)


def decode(
    server_id: ids.ServerId, encoded: bytes | None
) -> server_registration.Registration | codec.ServerRemoval:
    """Decode an entry of the store; one that is unreadable names no server."""
    if encoded is None:
        return codec.ServerRemoval(server_id, 'registration ended')
    try:
        entry = decoding.from_json(
            encoded, expected=registration_messages.Registration
        )
        return _convert_registration(server_id, entry)
    except (msgspec.MsgspecError, ValueError) as error:
        logs.event('registration_unreadable', server=server_id, error=error)
        return codec.ServerRemoval(server_id, 'registration unreadable')


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not (_is_token(host) and is_number and int(port) in PORTS):
        raise ValueError(f'no address: {address!r}')
    return host, int(port)


def _is_token(text: str) -> bool:
    """Return whether a text can be part of a header."""
    return (
        bool(text) and text.isascii() and text.isprintable() and ' ' not in text
    )


def _convert_registration(
    server_id: ids.ServerId, entry: registration_messages.Registration
) -> server_registration.Registration:
    if entry.state not in STATES:
        raise ValueError(f'unknown state {entry.state}')
    host, port = _host_and_port(entry.address)
    if not _is_token(server_id):
        raise ValueError(f'no id: {server_id!r}')
    return server_registration.Registration(
        server_id=server_id,
        started_ms=entry.born,
        service=ids.ServiceName(entry.backend),
        host=host,
        port=port,
        failure_domain=ids.FailureDomain(entry.zone),
        slots=entry.slots,
        leaving=entry.state == 'draining',
        software_version=ids.SoftwareVersion(entry.version),
        orders_taken=entry.seq,
        adapters_by_model=registration_messages.held_adapters(entry.models),
        cached_in_memory=tuple(map(ids.ModelName, entry.at_hand.in_memory)),
        cached_on_disk=tuple(map(ids.ModelName, entry.at_hand.on_disk)),
    )
