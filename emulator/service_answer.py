"""Answer of the plain-service stand-in."""

import msgspec


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Echo of a request with the digest of its body.

    run_number counts the calls that ran since the start of the process.
    """

    service: str
    server_id: str
    method: str
    path: str
    request_id: str
    idempotency_key: str
    body: str
    digest: str
    run_number: int
