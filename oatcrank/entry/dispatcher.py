"""Base class for dispatching to model engines and plain services."""

import abc
from http import HTTPStatus

from oatcrank import clock, errors, logs, metrics, refusal
from oatcrank.engines import backend_server
from oatcrank.entry import crash_suspects, job, response_writer, retry_budget

RETRY_AFTER_S = 1.0


class Dispatcher(abc.ABC):
    """Run a request on backend servers until it has one complete answer."""

    def __init__(
        self,
        *,
        suspects: crash_suspects.CrashSuspects,
        budget: retry_budget.RetryBudget,
        clock: clock.Clock,
        meter: metrics.Metrics,
    ) -> None:
        """Share suspects and the retry budget with other dispatchers."""
        self._suspects = suspects
        self._budget = budget
        self._clock = clock
        self._metrics = meter

    async def run(
        self,
        wanted: job.Job,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Answer the request or raise refusal.Refused."""
        self._budget.earn()
        while True:
            self._check_suspect(wanted)
            crashes = self._suspects.crashes(wanted.fingerprint)
            server = await self._reserve(wanted, crashes=crashes)
            try:
                await self._run_attempt(server, wanted, writer)
            finally:
                server.suspects -= crashes > 0
                self._release(server, wanted)
            if wanted.answered:
                self._suspects.clear(wanted.fingerprint)
                return

    @abc.abstractmethod
    async def _reserve(
        self,
        wanted: job.Job,
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
        wanted: job.Job,
    ) -> None:
        """Release the reserved slot."""

    @abc.abstractmethod
    async def _send(
        self,
        server: backend_server.BackendServer,
        wanted: job.Job,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Send once; raises errors.NotStarted or errors.Interrupted."""

    @abc.abstractmethod
    async def _is_alive(self, server: backend_server.BackendServer) -> bool:
        """Return whether the server has stayed up since the request."""

    async def _run_attempt(
        self,
        server: backend_server.BackendServer,
        wanted: job.Job,
        writer: response_writer.ResponseWriter,
    ) -> None:
        try:
            await self._send(server, wanted, writer)
        except errors.NotStarted as error:
            self._handle_not_started(server, wanted, error)
        except errors.Interrupted as error:
            self._record_failure(server, wanted, error)
            crashed = await self._suspects.interrupted(
                server,
                wanted.fingerprint,
                lambda: self._is_alive(server),
            )
            if crashed:
                # It may accept and drop requests: probe it with one at a time.
                server.failed(took_nothing=True)
            self._check_suspect(wanted, error)
            if wanted.work_class.at_most_once:
                raise refusal.Refused(
                    _outcome_unknown(wanted, error)
                ) from error
            self._spend_retry(wanted, refusal.RunState.may_have_run, error)
        else:
            server.succeeded()
            wanted.answered = True

    def _handle_not_started(
        self,
        server: backend_server.BackendServer,
        wanted: job.Job,
        error: errors.NotStarted,
    ) -> None:
        if isinstance(error, errors.NotPermitted):
            raise refusal.Refused(_claim_withdrawn(wanted)) from error
        wanted.permit.release()
        self._record_failure(server, wanted, error)
        if not isinstance(error, errors.NotLoaded):
            self._spend_retry(wanted, refusal.RunState.did_not_run, error)
        elif self._clock.now() >= wanted.deadline:
            raise refusal.Refused(_not_in_time(wanted, error)) from error

    def _record_failure(
        self,
        server: backend_server.BackendServer,
        wanted: job.Job,
        error: errors.BackendError,
    ) -> None:
        if not isinstance(error, (errors.NotLoaded, errors.Busy)):
            server.failed(took_nothing=isinstance(error, errors.NotStarted))
        wanted.avoid.add(server.listed.failure_domain)
        self._metrics.count('attempt_failed')
        logs.event(
            'attempt_failed',
            request_id=wanted.request_id,
            server=server.listed.instance_id,
            attempt=wanted.attempts,
            error=error,
        )

    def _spend_retry(
        self,
        wanted: job.Job,
        state: refusal.RunState,
        error: errors.BackendError,
    ) -> None:
        if wanted.may_have_run:
            state = refusal.RunState.may_have_run
        wanted.may_have_run = state is refusal.RunState.may_have_run
        if self._clock.now() < wanted.deadline and self._budget.spend():
            self._metrics.count('retry')
            return
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.interrupted,
                message=f'no attempt completed; the last error: {error}',
                run_state=state,
                request_id=wanted.request_id,
                retry_after_s=RETRY_AFTER_S,
                status=HTTPStatus.BAD_GATEWAY,
            ),
        ) from error

    def _check_suspect(
        self,
        wanted: job.Job,
        cause: errors.BackendError | None = None,
    ) -> None:
        if not self._suspects.is_refused(wanted.fingerprint):
            return
        ran = cause is not None or wanted.may_have_run
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.crashes_backend_servers,
                message='each backend server that ran this request crashed; '
                'do not send it again',
                run_state=refusal.RunState.may_have_run
                if ran
                else refusal.RunState.did_not_run,
                request_id=wanted.request_id,
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
            ),
        )


def _claim_withdrawn(wanted: job.Job) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message='the claim of the request was no longer valid',
        run_state=refusal.RunState.did_not_run,
        request_id=wanted.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _not_in_time(
    wanted: job.Job,
    error: errors.BackendError,
) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.not_in_time,
        message=f'the model or adapter was not loaded in time: {error}',
        run_state=refusal.RunState.may_have_run
        if wanted.may_have_run
        else refusal.RunState.did_not_run,
        request_id=wanted.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _outcome_unknown(
    wanted: job.Job,
    error: errors.BackendError,
) -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.outcome_unknown,
        message=f'the request was sent but its answer was lost: {error}',
        run_state=refusal.RunState.may_have_run,
        request_id=wanted.request_id,
        status=HTTPStatus.BAD_GATEWAY,
    )
