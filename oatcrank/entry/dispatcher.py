"""Base class for dispatching to model engines and plain services."""

import abc
import asyncio
from http import HTTPStatus

from oatcrank import clock, errors, ids, logs, metrics, refusal
from oatcrank.engines import backend_server
from oatcrank.entry import (
    crash_suspects,
    dispatch_request,
    exclusive_runs,
    response_writer,
    retry_budget,
)

RETRY_AFTER_S = 1.0
# Pause before an exclusive run is requested again.
EXCLUSIVE_RETRY_S = 0.05


class Dispatcher(abc.ABC):
    """Run a request on backend servers until it has one complete answer."""

    def __init__(
        self,
        *,
        suspects: crash_suspects.CrashSuspects,
        exclusive_runs: exclusive_runs.ExclusiveRuns,
        budget: retry_budget.RetryBudget,
        clock: clock.Clock,
        metrics: metrics.Metrics,
    ) -> None:
        """Share suspects and the retry budget with other dispatchers."""
        self._suspects = suspects
        self._exclusive_runs = exclusive_runs
        self._budget = budget
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Answer the request or raise refusal.Refused."""
        self._budget.earn()
        while True:
            self._check_suspect(request)
            crashes = self._suspects.crashes(request.fingerprint)
            server = await self._reserve(request, crashes=crashes)
            try:
                await self._run_apart(server, request, writer)
            finally:
                server.suspect_count -= crashes > 0
                self._release(server, request)
            if request.answered:
                self._suspects.clear(request.fingerprint)
                return

    @abc.abstractmethod
    async def _reserve(
        self,
        request: dispatch_request.DispatchRequest,
        *,
        crashes: int,
    ) -> backend_server.BackendServer:
        """Reserve a slot and return its server; raises refusal.Refused.

        A request with crashes counts as a suspect on that server.
        """

    @abc.abstractmethod
    def _release(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
    ) -> None:
        """Release the reserved slot."""

    @abc.abstractmethod
    async def _send(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Send once; raises errors.NotStarted or errors.Interrupted."""

    @abc.abstractmethod
    async def _is_alive(self, server: backend_server.BackendServer) -> bool:
        """Return whether the server has stayed up since the request."""

    async def _run_apart(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Run an attempt, exclusively if one more crash refuses the request."""
        self._check_suspect(request)
        if not self._suspects.is_refused_after_next(request.fingerprint):
            await self._run_attempt(server, request, writer)
            return
        run = await self._exclusive_runs.begin(
            ids.ServerId(server.listed.instance_id),
            max(0, request.deadline - self._clock.now()),
        )
        if run is None:
            self._check_deadline(request)
            await asyncio.sleep(EXCLUSIVE_RETRY_S)
            return
        try:
            await self._run_attempt(server, request, writer)
        finally:
            await self._exclusive_runs.end(run)

    async def _run_attempt(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        try:
            await self._send(server, request, writer)
        except errors.NotStarted as error:
            self._handle_not_started(server, request, error)
        except errors.Interrupted as error:
            self._record_failure(server, request, error)
            crashed = await self._suspects.record_interruption(
                server,
                request.fingerprint,
                lambda: self._is_alive(server),
            )
            if crashed:
                # It may accept and drop requests: probe it with one at a time.
                server.record_failure(not_started=True)
            self._check_suspect(request, error)
            if request.profile.at_most_once:
                raise refusal.Refused(
                    _outcome_unknown(request, error)
                ) from error
            self._spend_retry(request, refusal.RunState.may_have_run, error)
        else:
            server.record_success()
            request.answered = True

    def _handle_not_started(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        error: errors.NotStarted,
    ) -> None:
        if isinstance(error, errors.NotPermitted):
            raise refusal.Refused(_claim_withdrawn(request)) from error
        request.permit.release()
        self._record_failure(server, request, error)
        if not isinstance(error, errors.NotLoaded):
            self._spend_retry(request, refusal.RunState.did_not_run, error)
        elif self._clock.now() >= request.deadline:
            raise refusal.Refused(_not_in_time(request, error)) from error

    def _record_failure(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        error: errors.BackendError,
    ) -> None:
        if not isinstance(error, (errors.NotLoaded, errors.Busy)):
            server.record_failure(
                not_started=isinstance(error, errors.NotStarted)
            )
        request.avoided_domains.add(server.listed.failure_domain)
        self._metrics.count('attempt_failed')
        logs.event(
            'attempt_failed',
            request_id=request.request_id,
            server=server.listed.instance_id,
            attempt=request.attempts,
            error=error,
        )

    def _spend_retry(
        self,
        request: dispatch_request.DispatchRequest,
        state: refusal.RunState,
        error: errors.BackendError,
    ) -> None:
        if request.may_have_run:
            state = refusal.RunState.may_have_run
        request.may_have_run = state is refusal.RunState.may_have_run
        if self._clock.now() < request.deadline and self._budget.spend():
            self._metrics.count('retry')
            return
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.interrupted,
                message=f'no attempt completed; the last error: {error}',
                run_state=state,
                request_id=request.request_id,
                retry_after_s=RETRY_AFTER_S,
                status=HTTPStatus.BAD_GATEWAY,
            ),
        ) from error

    def _check_deadline(
        self, request: dispatch_request.DispatchRequest
    ) -> None:
        """Refuse a suspect that got no exclusive run before its deadline."""
        if self._clock.now() < request.deadline:
            return
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.not_in_time,
                message='other requests that may crash backend servers run '
                'one at a time',
                run_state=refusal.RunState.may_have_run
                if request.may_have_run
                else refusal.RunState.did_not_run,
                request_id=request.request_id,
                retry_after_s=RETRY_AFTER_S,
            ),
        )

    def _check_suspect(
        self,
        request: dispatch_request.DispatchRequest,
        cause: errors.BackendError | None = None,
    ) -> None:
        if not self._suspects.is_refused(request.fingerprint):
            return
        ran = cause is not None or request.may_have_run
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.crashes_backend_servers,
                message='each backend server that ran this request crashed; '
                'do not send it again',
                run_state=refusal.RunState.may_have_run
                if ran
                else refusal.RunState.did_not_run,
                request_id=request.request_id,
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
            ),
        )


def _claim_withdrawn(
    request: dispatch_request.DispatchRequest,
) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message='the claim of the request was no longer valid',
        run_state=refusal.RunState.did_not_run,
        request_id=request.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _not_in_time(
    request: dispatch_request.DispatchRequest,
    error: errors.BackendError,
) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.not_in_time,
        message=f'the model or adapter was not loaded in time: {error}',
        run_state=refusal.RunState.may_have_run
        if request.may_have_run
        else refusal.RunState.did_not_run,
        request_id=request.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _outcome_unknown(
    request: dispatch_request.DispatchRequest,
    error: errors.BackendError,
) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.outcome_unknown,
        message=f'the request was sent but its answer was lost: {error}',
        run_state=refusal.RunState.may_have_run,
        request_id=request.request_id,
        status=HTTPStatus.BAD_GATEWAY,
    )
