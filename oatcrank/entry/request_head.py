"""Check the headers of callers' requests."""

import re
import secrets
from http import HTTPStatus

from tornado import httputil

from oatcrank import ids, refusal

PROFILE_HEADER = 'X-Oatcrank-Profile'
REQUEST_ID_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'
REQUEST_ID_BYTES = 8
ID_PATTERN = re.compile(r'[\w.:@/+=-]{1,128}', re.ASCII)
KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')


class RequestHead:
    """Hold the profile name, the request id and the idempotency key."""

    def __init__(self, headers: httputil.HTTPHeaders) -> None:
        """Check the headers; raises refusal.Refused."""
        self.request_id = ids.RequestId(
            headers.get(REQUEST_ID_HEADER)
            or secrets.token_hex(REQUEST_ID_BYTES),
        )
        _check(REQUEST_ID_HEADER, self.request_id, ID_PATTERN)
        self.profile = ids.ProfileName(headers.get(PROFILE_HEADER, ''))
        _check(PROFILE_HEADER, self.profile, ID_PATTERN)
        self.idempotency_key = headers.get(KEY_HEADER, '')
        if KEY_HEADER in headers:
            _check(KEY_HEADER, self.idempotency_key, KEY_PATTERN)


def bad_request(
    message: str,
    *,
    code: refusal.Code = refusal.Code.bad_request,
    status: int = HTTPStatus.BAD_REQUEST,
) -> refusal.Refused:
    """Return the refusal of an invalid request."""
    return refusal.Refused(
        refusal.Refusal(
            code=code,
            message=message,
            run_state=refusal.RunState.did_not_run,
            status=status,
        ),
    )


def _check(name: str, value: str, pattern: re.Pattern[str]) -> None:
    if not pattern.fullmatch(value):
        raise bad_request(
            f'header {name} must match {pattern.pattern}, got {value!r:.140}',
        )
