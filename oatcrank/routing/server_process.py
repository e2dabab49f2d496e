"""Identify the process of a backend server."""

import msgspec

from oatcrank import ids


class ServerProcess(msgspec.Struct, frozen=True):
    """Id of a server, with the start of its process in Unix milliseconds.

    A server may start again under the id that it had.
    """

    server_id: ids.ServerId
    started_ms: int


class RegisteredProcess(msgspec.Struct, frozen=True):
    """Process of a server with its address as `host:port`."""

    process: ServerProcess
    address: str
