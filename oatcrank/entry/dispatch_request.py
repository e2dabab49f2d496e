"""Caller's request and the state of its attempts."""

from typing import Any

from oatcrank import ids
from oatcrank.claims import permit
from oatcrank.configuration import profile

MS_PER_S = 1000


class DispatchRequest:
    """Hold a request and what its earlier attempts have shown."""

    def __init__(
        self,
        *,
        request_id: ids.RequestId,
        profile: profile.Profile,
        fingerprint: int,
        arrived_at: float,
    ) -> None:
        """Start without attempts; arrived_at is in the clock's seconds."""
        self.request_id = request_id
        self.profile = profile
        self.fingerprint = fingerprint
        self.arrived_at = arrived_at
        self.deadline = arrived_at + profile.targets.whole_answer_ms / MS_PER_S
        self.avoided_domains: set[ids.FailureDomain] = set()
        self.permit: permit.Permit = permit.UnrestrictedPermit()
        self.attempts = 0
        self.answered = False
        self.may_have_run = False

    def next_attempt_id(self) -> ids.RequestId:
        """Return a unique id for the next attempt."""
        self.attempts += 1
        return ids.RequestId(
            f'{self.request_id}.{id(self):x}.{self.attempts}',
        )


class ModelRequest(DispatchRequest):
    """Hold a request to a model; payload is its decoded JSON body."""

    def __init__(
        self,
        *,
        path: str,
        payload: dict[str, Any],
        **common: Any,
    ) -> None:
        """Extract the fields of the body that routing needs."""
        super().__init__(**common)
        self.path = path
        self.payload = payload
        self.model = ids.ModelName(payload['model'])
        self.adapter = ids.AdapterName(payload.get('adapter') or '')
        self.prefix = str(payload.get('prefix_id') or '')
        self.streams = bool(payload.get('stream'))
        # Whether the caller has a part of a stream.
        self.begun = False
        self.sent_tokens = 0


class ServiceRequest(DispatchRequest):
    """Hold a call of a plain service."""

    def __init__(
        self,
        *,
        service: ids.ServiceName,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        idempotency_key: str,
        **common: Any,
    ) -> None:
        """Hold the call as it is relayed."""
        super().__init__(**common)
        self.service = service
        self.method = method
        self.path = path
        self.body = body
        self.content_type = content_type
        self.idempotency_key = idempotency_key
