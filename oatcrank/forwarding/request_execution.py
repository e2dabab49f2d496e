"""Execute one request: choose servers, send, retry and answer."""

import asyncio
import http

import msgspec

from oatcrank import ids, logs
from oatcrank.forwarding import (
    answer_end,
    attempt,
    attempt_result,
    attempt_state,
    caller_answer,
    caller_request,
    crash_guard,
    prompt_slot_waiter,
    refusal,
    request_dependencies,
    request_log,
    request_metrics,
    request_sends,
    resumable_stream,
    server_search,
)
from oatcrank.routing import need, route, server
from oatcrank.transport import reply

# Leaves time to forward an answer that a server sends at the deadline.
DEADLINE_SLACK_S = 0.1
CRASH_RETRY_S = 5.0
FAILURE_RETRY_S = 0.3
DECLINED_PAUSE_S = 0.03
MIN_ATTEMPT_S = 0.02
# Includes the sends that servers decline.
MAX_SENDS = 5
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR


class RequestExecution:
    """Execution of one request."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        out: reply.Reply,
    ) -> None:
        """Prepare to execute a request of a route."""
        self._dependencies = dependencies
        self._request = request
        self._route = request_route
        self._out = out
        self._slot_waiter = prompt_slot_waiter.PromptSlotWaiter(
            dependencies, request, request_route
        )
        self._sends = request_sends.RequestSends()
        self._last_end: answer_end.AnswerEnd | None = None
        self._answer = caller_answer.CallerAnswer(out)
        self._identity = crash_guard.identity_of(request)
        self._stream = resumable_stream.ResumableStream(
            dependencies, request, request_route, self._identity
        )
        self._deadline_s = request.deadline_s(request_route.timeout_s)
        self._wanted = need.Need(
            self._choose_service(),
            request.model,
            request.adapter,
        )
        self._trial = crash_guard.Trial((), ())
        # The request was not answered, since no server was reached.
        self.is_unreached = False

    @property
    def has_not_run(self) -> bool:
        """Return whether no server can have run the request."""
        return self._sends.has_not_run

    @property
    def sends_that_reached(self) -> int:
        """Return how many sends have reached servers, also by others."""
        return self._request.earlier_sends + self._sends.arrivals

    async def run(self) -> None:
        """Execute the request and log its outcome."""
        try:
            await self._execute_with_timeout()
        finally:
            self._record_outcome()

    async def _execute_with_timeout(self) -> None:
        try:
            async with self._dependencies.unanswered.limit(
                self._out, self._deadline_s + DEADLINE_SLACK_S
            ):
                await self._execute()
        except TimeoutError:
            self._answer.give_up(
                'timeout: deadline exceeded',
                FAILURE_RETRY_S,
                has_not_run=self.has_not_run,
                may_have_run_status=http.HTTPStatus.GATEWAY_TIMEOUT,
            )
        except refusal.RequestRefused as refused:
            if self._is_unreached_by(refused):
                self.is_unreached = True
                self._answer.outcome = f'unreached: {refused.reason}'
                return
            self._answer.give_up(
                f'refused: {refused.reason}',
                refused.retry_after_s,
                has_not_run=self.has_not_run,
            )

    def _is_unreached_by(self, refused: refusal.RequestRefused) -> bool:
        """Return whether a refusal is due to this instance's links alone."""
        if isinstance(refused, refusal.InstanceStopping):
            return False
        links = self._dependencies.links.of_service(self._wanted.service)
        if isinstance(refused, refusal.ServersUnreached):
            return self._may_relay()
        return links.is_cut and self._may_relay()

    def _may_relay(self) -> bool:
        """Return whether another instance may still serve the request."""
        links = self._dependencies.links.of_service(self._wanted.service)
        return links.is_suspect and self.has_not_run and not self._out.started

    async def _execute(self) -> None:
        self._check_crashes()
        await self._stream.find_origin(self._wanted.service)
        if self._stream.origin is not None:
            self._wanted = msgspec.structs.replace(
                self._wanted, service=self._stream.origin.service
            )
        self._dependencies.placement_requester.record_demand(self._wanted)
        search = server_search.ServerSearch(
            self._dependencies,
            self._request,
            self._route,
            self._wanted,
            self._deadline_s,
        )
        while True:
            search.required_version = self._stream.required_version
            search.prefers_idle = bool(
                self._dependencies.crash_guard.trial_of(self._identity)
            )
            chosen = await search.find(self._sends.tried_ids)
            # The permit comes first: a prompt slot that is reserved without one
            # is not used, and delays the prompts after it.
            if not await self._wait_for_permit(chosen, search):
                continue
            if not await self._wait_for_slot(chosen, search):
                continue
            if not self._has_room(chosen):
                continue
            self._check_crashes()
            self._check_send_limits()
            # Only now: a server with a trial counts as unusable.
            chosen.begin_trial(self._dependencies.now())
            self._trial = self._dependencies.crash_guard.begin_trial(
                self._identity
            )
            self._sends.record_begin(chosen)
            result = await self._attempt(chosen)
            self._last_end = result.end
            if await self._settle(result, chosen, search):
                return

    def _check_crashes(self) -> None:
        """Refuse a request that is known to crash servers.

        That may have become known while it waited or was interrupted.
        """
        reason = self._dependencies.crash_guard.refusal_reason(self._identity)
        if reason is not None:
            raise refusal.RequestRefused(reason, CRASH_RETRY_S)

    async def _wait_for_slot(
        self,
        chosen: server.Server,
        search: server_search.ServerSearch,
    ) -> bool:
        """Wait for a prompt slot; return whether to send to this server."""
        if self._wanted.model is None:
            return True
        delay_s = await self._slot_waiter.wait(
            chosen, required=self._out.started
        )
        if delay_s is not None:
            search.exclude_delayed(chosen.server_id, delay_s)
            return False
        return chosen.has_place(self._dependencies.now())

    async def _wait_for_permit(
        self,
        chosen: server.Server,
        search: server_search.ServerSearch,
    ) -> bool:
        """Wait for a permit of a limit; return whether to send."""
        permit = await self._dependencies.server_limiter.reserve(
            chosen.registration, search.permit_wait_s(chosen.server_id)
        )
        if not permit.granted:
            search.exclude_limited(chosen, permit.wait_s)
            return False
        if permit.wait_s:
            await asyncio.sleep(permit.wait_s)
        return chosen.has_place(self._dependencies.now())

    def _has_room(self, chosen: server.Server) -> bool:
        """Return whether a brittle server still has room after the waits."""
        return self._dependencies.brittle_servers.has_room(
            chosen, self._dependencies.now()
        )

    def _check_send_limits(self) -> None:
        """Count the first send, or take a retry from the budget."""
        now_s = self._dependencies.now()
        sends = self._request.earlier_sends + self._sends.count
        if sends >= MAX_SENDS:
            raise refusal.RequestRefused('send limit reached', FAILURE_RETRY_S)
        if not sends:
            self._dependencies.retry_budgets.record_first_send(
                self._wanted.service, now_s
            )
        elif not self._dependencies.retry_budgets.spend(
            self._wanted.service, now_s
        ):
            raise refusal.RequestRefused(
                'retry budget exhausted', FAILURE_RETRY_S
            )

    async def _attempt(
        self, chosen: server.Server
    ) -> attempt_result.AttemptResult:
        current = attempt.Attempt(
            self._dependencies,
            self._request,
            self._route,
            chosen,
            self._out,
            self._stream,
            self._sends.connections,
        )
        began_s = self._dependencies.now()
        self._dependencies.placement_requester.record_start(
            chosen.server_id, self._wanted
        )
        try:
            return await current.run(self._deadline_s)
        finally:
            self._dependencies.placement_requester.record_end(
                chosen.server_id,
                self._wanted,
                self._dependencies.now() - began_s,
            )
            self._record_end(chosen, current.progress)

    def _record_end(
        self, chosen: server.Server, progress: attempt_state.Progress
    ) -> None:
        self._sends.record_end(chosen.server_id, progress)
        request_metrics.ATTEMPTS.labels(
            self._wanted.service,
            progress.name,
        ).inc()
        if not attempt_state.may_have_run(progress):
            self._dependencies.crash_guard.return_trial(self._trial)

    async def _settle(
        self,
        result: attempt_result.AttemptResult,
        chosen: server.Server,
        search: server_search.ServerSearch,
    ) -> bool:
        """Act on the result; return whether the request is finished."""
        step = attempt_state.step_after(
            result.progress,
            repeatable=self._route.repeatable,
            delivered=self._out.started,
            resumable=self._route.resumable and self._stream.can_continue,
        )
        if step is attempt_state.Step.deliver:
            return self._deliver(result, chosen, search)
        request_log.log_failed_attempt(
            self._request, self._identity, chosen, result, step
        )
        if (
            result.progress is attempt_state.Progress.written
            and not result.given_up
        ):
            self._dependencies.crash_guard.record_interruption(
                chosen, self._identity, result
            )
        if step is attempt_state.Step.send_again:
            await self._prepare_retry(result, chosen, search)
            return False
        self._answer.give_up(
            f'failed: {result.reason}',
            FAILURE_RETRY_S,
            has_not_run=self.has_not_run,
        )
        return True

    async def _prepare_retry(
        self,
        result: attempt_result.AttemptResult,
        chosen: server.Server,
        search: server_search.ServerSearch,
    ) -> None:
        if self._out.started:
            search.restart_patience(self._dependencies.now())
        if result.progress is attempt_state.Progress.written:
            search.exclude(chosen.server_id)
        elif result.progress is attempt_state.Progress.unsent:
            if self._may_relay():
                raise refusal.ServersUnreached(
                    'no server is reached', FAILURE_RETRY_S
                )
        elif result.misdirected:
            chosen.remove_held(self._wanted)
        elif self._wanted.model is not None:
            # The server is full, or is loading or unloading the model.
            chosen.skip_briefly(self._wanted, self._dependencies.now())
            await asyncio.sleep(DECLINED_PAUSE_S)
        else:
            search.deprioritize(chosen.server_id)
            await asyncio.sleep(DECLINED_PAUSE_S)

    def _deliver(
        self,
        result: attempt_result.AttemptResult,
        chosen: server.Server,
        search: server_search.ServerSearch,
    ) -> bool:
        answer = result.answer
        if answer is None or answer.status < SERVER_ERROR:
            self._dependencies.crash_guard.record_answer(
                chosen, self._identity, result, self._dependencies.now()
            )
        if answer is None:
            self._answer.outcome = 'streamed'
            return True
        retry_failure = (
            answer.status >= SERVER_ERROR
            and self._route.repeatable
            and len(self._sends.tried_ids) < self._route.max_servers
            and self._deadline_s - self._dependencies.now() > MIN_ATTEMPT_S
        )
        if retry_failure:
            self._answer.keep_failure(answer)
            search.deprioritize(chosen.server_id)
            logs.event(
                'failure_retried',
                request=self._request.request_id,
                server=chosen.server_id,
                status=answer.status,
            )
            return False
        self._answer.forward(answer)
        return True

    def _choose_service(self) -> ids.ServiceName:
        shares = self._route.shares
        if len(shares) == 1:
            return shares[0].service
        drawn = self._dependencies.rng.choices(
            shares,
            [share.weight for share in shares],
        )
        return drawn[0].service

    def _record_outcome(self) -> None:
        duration_s = self._dependencies.now() - self._request.began_s
        service = self._wanted.service
        request_metrics.REQUESTS.labels(
            service,
            self._answer.outcome.partition(':')[0],
        ).inc()
        request_metrics.REQUEST_SECONDS.labels(service).observe(duration_s)
        logs.event(
            'request_done',
            request=self._request.request_id,
            route=self._route.name,
            organisation=self._request.organisation or '',
            model=self._wanted.model or '',
            adapter=self._wanted.adapter or '',
            prompt_wait_ms=round(self._slot_waiter.waited_s * 1000),
            outcome=self._answer.outcome,
            ms=round(duration_s * 1000),
            first_byte_ms=self._first_byte_ms(),
            pause_ms=round(self._out.longest_pause_s * 1000),
            **self._sends.log_fields(),
            **request_log.end_fields(self._last_end),
            **request_log.resumption_fields(self._request),
        )

    def _first_byte_ms(self) -> int:
        """Return the time to first byte in milliseconds, or -1."""
        first_s = self._out.first_write_s
        if first_s is None:
            return -1
        return round((first_s - self._request.began_s) * 1000)
