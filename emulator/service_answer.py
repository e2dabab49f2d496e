"""Describe what the plain-service stand-in answers."""

import msgspec


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Echo a request with the digest of its body and its place in the runs."""

    service: str
    server_id: str
    method: str
    path: str
    request_id: str
    idempotency_key: str
    body: str
    digest: str
    run_number: int
