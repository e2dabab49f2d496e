"""Define the error responses that callers receive."""

import enum
from http import HTTPStatus

import msgspec

from oatcrank import ids


class RunState(enum.Enum):
    """Whether a backend server ran a refused request."""

    did_not_run = 'did_not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


class Code(enum.Enum):
    """Stable error code of a refusal."""

    bad_request = 'bad_request'
    too_large = 'too_large'
    unknown_profile = 'unknown_profile'
    unknown_model = 'unknown_model'
    unknown_adapter = 'unknown_adapter'
    unknown_service = 'unknown_service'
    missing_idempotency_key = 'missing_idempotency_key'
    key_reused = 'key_reused'
    overloaded = 'overloaded'
    not_in_time = 'not_in_time'
    no_backend_server = 'no_backend_server'
    platform_unavailable = 'platform_unavailable'
    outcome_unknown = 'outcome_unknown'
    answer_not_kept = 'answer_not_kept'
    interrupted = 'interrupted'
    crashes_backend_servers = 'crashes_backend_servers'
    stopping = 'stopping'
    conflict = 'conflict'
    not_found = 'not_found'
    internal = 'internal'


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every error response."""

    code: Code
    message: str
    run_state: RunState
    request_id: ids.RequestId = ids.RequestId('')
    retry_after_s: float | None = None
    status: int = HTTPStatus.SERVICE_UNAVAILABLE


class Refused(Exception):
    """Raised to end a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Hold the refusal for the request handler."""
        super().__init__(refusal.message)
        self.refusal = refusal
