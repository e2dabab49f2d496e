"""Hold the parts that serve callers on one instance."""

import asyncio
from collections.abc import Callable, Mapping
from http import HTTPStatus

from oatcrank import (
    claims,
    clock,
    dispatch_queue,
    ids,
    members,
    metrics,
    model_dispatch,
    plan_view,
    profile,
    refusal,
    service_dispatch,
    settings,
    unrepeatable,
)

ISOLATED_RETRY_S = 2.0

ProfileByName = Mapping[ids.ProfileName, profile.Profile]


class Serving:
    """Give the handlers of callers what they need."""

    def __init__(
        self,
        *,
        chosen: settings.Settings,
        ticker: clock.Clock,
        meter: metrics.Metrics,
        membership: members.Members,
        profiles: Callable[[], ProfileByName],
        isolated: Callable[[], bool],
    ) -> None:
        """Start without dispatches; they are set while the instance starts."""
        self.settings = chosen
        self.clock = ticker
        self.meter = meter
        self.members = membership
        self.profiles = profiles
        self.places: dispatch_queue.DispatchQueue
        self.models: model_dispatch.ModelDispatch
        self.services: service_dispatch.ServiceDispatch
        self.unrepeatable: unrepeatable.Unrepeatable
        self.plans: plan_view.PlanView
        self.claims: claims.Claims
        self.running = 0
        self._quiet = asyncio.Event()
        self._quiet.set()
        self._isolated = isolated

    def begin(self) -> None:
        """Count a request that has begun."""
        self.running += 1
        self._quiet.clear()

    def end(self) -> None:
        """Count a request that has ended."""
        self.running -= 1
        if not self.running:
            self._quiet.set()

    async def quiet(self) -> None:
        """Return once no request runs."""
        await self._quiet.wait()

    def check_in_service(self) -> None:
        """Refuse new work while changes of profiles could go unseen."""
        if not self._isolated():
            return
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.platform_unavailable,
                message='this instance reaches neither the key-value service '
                'nor any peer; use another address',
                run_state=refusal.RunState.did_not_run,
                retry_after_s=ISOLATED_RETRY_S,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
            ),
        )
