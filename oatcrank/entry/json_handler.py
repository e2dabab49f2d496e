"""Base class for HTTP handlers with typed JSON bodies."""

import math
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from tornado import web

from oatcrank import decoding, logs, refusal

Message = TypeVar('Message')


class JsonHandler(web.RequestHandler):
    """Decode typed bodies and answer all errors as refusals."""

    def decode(self, message_type: type[Message]) -> Message:
        """Return the body as a message, or refuse it as a bad request."""
        try:
            return decoding.from_json(self.request.body, expected=message_type)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise refusal.Refused(
                refusal.Refusal(
                    code=refusal.Code.bad_request,
                    message=f'body: {error}',
                    run_state=refusal.RunState.did_not_run,
                    status=HTTPStatus.BAD_REQUEST,
                ),
            ) from error

    def answer(
        self,
        message: msgspec.Struct,
        status: int = HTTPStatus.OK,
    ) -> None:
        """Answer with a message as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def refuse(self, refused: refusal.Refusal) -> None:
        """Answer with a refusal; Retry-After is rounded up to seconds."""
        if refused.retry_after_s is not None:
            delay_s = max(1, math.ceil(refused.retry_after_s))
            self.set_header('Retry-After', str(delay_s))
        self.answer(refused, refused.status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer any error as a refusal."""
        if self._finished:
            return
        self.refuse(_refusal_of(status_code, kwargs.get('exc_info')))

    def log_exception(self, *exc_info: Any) -> None:
        """Log errors that are neither refusals nor HTTP errors."""
        error = exc_info[1]
        if isinstance(error, (refusal.Refused, web.HTTPError)):
            return
        logs.event('handler_failed', path=self.request.path, error=repr(error))


def _refusal_of(status_code: int, exc_info: Any) -> refusal.Refusal:
    error = exc_info[1] if exc_info else None
    if isinstance(error, refusal.Refused):
        return error.refusal
    if status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
        return refusal.Refusal(
            code=refusal.Code.bad_request,
            message=str(error),
            run_state=refusal.RunState.did_not_run,
            status=status_code,
        )
    return refusal.Refusal(
        code=refusal.Code.internal,
        message='internal error; see the log of this instance',
        run_state=refusal.RunState.may_have_run,
        status=status_code,
    )
