"""End a request towards its caller."""

import http

from oatcrank.forwarding import attempt_result
from oatcrank.transport import message, reply


class CallerAnswer:
    """Last answer to a caller, and the outcome of the request for the log."""

    def __init__(self, out: reply.Reply) -> None:
        """Start without an answer: the caller may leave before it."""
        self._out = out
        self._failure: attempt_result.BufferedAnswer | None = None
        self.outcome = 'cancelled'

    def keep_failure(self, answer: attempt_result.BufferedAnswer) -> None:
        """Keep a server's failure in case that no other server answers."""
        self._failure = answer

    def forward(self, answer: attempt_result.BufferedAnswer) -> None:
        """Forward the answer of a server."""
        self.outcome = f'answered {answer.status}'
        self._out.answer(
            answer.status,
            answer.headers,
            answer.body,
            reason=answer.reason,
        )

    def give_up(
        self,
        outcome: str,
        retry_after_s: float,
        *,
        has_not_run: bool,
        may_have_run_status: http.HTTPStatus = http.HTTPStatus.BAD_GATEWAY,
    ) -> None:
        """End the request without a good answer of a server."""
        if self._out.started:
            self._out.abort()
        elif self._failure is not None:
            self.forward(self._failure)
            return
        elif has_not_run:
            self._out.answer(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_headers(retry_after_s),
                b'',
            )
        else:
            self._out.answer(may_have_run_status, [], b'')
        self.outcome = outcome


def retry_after_headers(retry_after_s: float) -> message.Headers:
    """Return a Retry-After header; the delay is in seconds."""
    return [(b'Retry-After', b'%.2f' % retry_after_s)]
