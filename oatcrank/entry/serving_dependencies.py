"""Dependencies of the handlers that serve callers."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from http import HTTPStatus

from oatcrank import clock, ids, metrics, refusal
from oatcrank.claims import at_most_once_runner, claims
from oatcrank.configuration import profile
from oatcrank.control import plan_view
from oatcrank.entry import (
    dispatch_queue,
    exclusive_run_table,
    model_dispatcher,
    service_dispatcher,
)
from oatcrank.membership import members
from oatcrank.settings import settings

ISOLATED_RETRY_AFTER_S = 2.0
# Other instances can serve the request at once.
STOPPING_RETRY_AFTER_S = float(0)

ProfileByName = Mapping[ids.ProfileName, profile.Profile]


@dataclasses.dataclass(kw_only=True)
class ServingDependencies:
    """Hold the handlers' dependencies and count running requests.

    isolated() returns whether this instance may miss profile changes.
    """

    settings: settings.Settings
    clock: clock.Clock
    metrics: metrics.Metrics
    members: members.Members
    profiles: Callable[[], ProfileByName]
    isolated: Callable[[], bool]
    plans: plan_view.PlanView
    queue: dispatch_queue.DispatchQueue
    model_dispatcher: model_dispatcher.ModelDispatcher
    service_dispatcher: service_dispatcher.ServiceDispatcher
    exclusive_runs: exclusive_run_table.ExclusiveRunTable
    claims: claims.Claims
    at_most_once_runner: at_most_once_runner.AtMostOnceRunner
    accepting: bool = True

    def __post_init__(self) -> None:
        """Start without running requests."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return len(self._tasks)

    def request_started(self, task: asyncio.Task[None]) -> None:
        """Record a request that starts."""
        self._tasks.add(task)
        self._idle.clear()

    def request_ended(self, task: asyncio.Task[None]) -> None:
        """Record that a request has its answer."""
        self._tasks.discard(task)
        if not self._tasks:
            self._idle.set()

    def give_up(self) -> None:
        """Cancel all requests, which are then refused as stopped."""
        for task in self._tasks:
            task.cancel()

    async def wait_until_idle(self) -> None:
        """Wait until no request runs."""
        await self._idle.wait()

    def check_accepting(self) -> None:
        """Refuse requests that the end of a planned stop may cut off."""
        if not self.accepting:
            raise refusal.Refused(stopping(refusal.RunState.did_not_run))

    def check_not_isolated(self) -> None:
        """Refuse requests while this instance may miss profile changes."""
        if not self.isolated():
            return
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.platform_unavailable,
                message='this instance reaches neither the key-value service '
                'nor any peer; use another address',
                run_state=refusal.RunState.did_not_run,
                retry_after_s=ISOLATED_RETRY_AFTER_S,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
            ),
        )


def stopping(run_state: refusal.RunState) -> refusal.Refusal:
    """Return the refusal of a request that a planned stop does not serve."""
    did_not_run = run_state is refusal.RunState.did_not_run
    return refusal.Refusal(
        code=refusal.Code.stopping,
        message='this instance stops; use another address',
        run_state=run_state,
        retry_after_s=STOPPING_RETRY_AFTER_S,
        status=HTTPStatus.SERVICE_UNAVAILABLE
        if did_not_run
        else HTTPStatus.BAD_GATEWAY,
    )
