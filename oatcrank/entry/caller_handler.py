"""Base class for the handlers of callers' requests."""

import asyncio
import contextlib
from collections.abc import Awaitable
from http import HTTPStatus

import msgspec

from oatcrank import logs, refusal
from oatcrank.configuration import profile
from oatcrank.entry import (
    caller_response_writer,
    dispatch_request,
    event_splitter,
    json_handler,
    request_head,
    serving_dependencies,
)

EVENT_PREFIX = b'data: '


class StreamError(msgspec.Struct, frozen=True):
    """Event that reports why a started stream ends early."""

    error: refusal.Refusal


class CallerHandler(json_handler.JsonHandler):
    """Check a request, run it, and cancel it if its caller disconnects."""

    def initialize(
        self, dependencies: serving_dependencies.ServingDependencies
    ) -> None:
        """Use the dependencies of this instance."""
        self.dependencies = dependencies
        self.request_head: request_head.RequestHead
        self.response_writer = caller_response_writer.CallerResponseWriter(self)
        self._task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        """Check the headers and that this instance can serve requests."""
        self.request_head = request_head.RequestHead(self.request.headers)
        self.set_header(
            request_head.REQUEST_ID_HEADER, self.request_head.request_id
        )
        if self.dependencies.members.own.leaving:
            self.set_header('Connection', 'close')
        self.dependencies.check_accepting()
        self.dependencies.check_not_isolated()

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.response_writer.disconnected = True
        if self._task is not None:
            self._task.cancel()

    def requested_profile(self) -> profile.Profile:
        """Return the profile that the request names, or refuse it."""
        requested = self.dependencies.profiles().get(self.request_head.profile)
        if requested is None:
            raise request_head.bad_request(
                f'there is no profile {self.request_head.profile}',
                code=refusal.Code.unknown_profile,
                status=HTTPStatus.NOT_FOUND,
            )
        if requested.at_most_once and not self.request_head.idempotency_key:
            raise request_head.bad_request(
                f'profile {requested.name} is at-most-once: '
                'an Idempotency-Key header is required',
                code=refusal.Code.missing_idempotency_key,
            )
        return requested

    async def run(
        self, request: dispatch_request.DispatchRequest, work: Awaitable[None]
    ) -> None:
        """Run the request and finish the answer."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore
        self._task = task
        self.dependencies.request_started(task)
        try:
            await self._run(request, task)
        finally:
            self.dependencies.request_ended(task)

    async def _run(
        self,
        request: dispatch_request.DispatchRequest,
        task: asyncio.Task[None],
    ) -> None:
        try:
            await task
        except asyncio.CancelledError:
            self._finish_cancelled(request)
        except refusal.Refused as refused:
            self._finish_refused(refused.refusal)
        else:
            if not self.response_writer.disconnected:
                await self._finish()

    def refuse(self, refused: refusal.Refusal) -> None:
        """Log a refusal, add the request id and answer with it."""
        head = getattr(self, 'request_head', None)
        if head is not None and not refused.request_id:
            refused = msgspec.structs.replace(
                refused, request_id=head.request_id
            )
        self._log_refusal(refused)
        super().refuse(refused)

    async def _finish(self) -> None:
        with contextlib.suppress(IOError):
            await self.finish()

    def _log_refusal(self, refused: refusal.Refusal) -> None:
        logs.event(
            'refused',
            request_id=refused.request_id,
            code=refused.code.value,
            run_state=refused.run_state.value,
            reason=refused.message,
        )
        self.dependencies.metrics.count(f'refused.{refused.code.value}')

    def _finish_cancelled(
        self, request: dispatch_request.DispatchRequest
    ) -> None:
        """Finish a request that its caller has left, or that a stop ends."""
        if self.response_writer.disconnected:
            logs.event(
                'caller_disconnected', request_id=self.request_head.request_id
            )
            return
        # At-most-once requests go on, or are another's run.
        has_not_run = not request.attempts and not request.profile.at_most_once
        self._finish_refused(
            serving_dependencies.stopping(
                refusal.RunState.did_not_run
                if has_not_run
                else refusal.RunState.may_have_run
            )
        )

    def _finish_refused(self, refused: refusal.Refusal) -> None:
        if self.response_writer.disconnected:
            self._log_refusal(refused)
            return
        if self.response_writer.started:
            self._log_refusal(refused)
            # The status is already sent, so the error goes into the stream,
            # which then lacks its final event.
            self.write(EVENT_PREFIX + msgspec.json.encode(StreamError(refused)))
            self.finish(event_splitter.EVENT_END)
            return
        self.refuse(refused)
