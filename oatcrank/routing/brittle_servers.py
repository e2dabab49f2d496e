"""Keep brittle servers from having to turn requests away.

Load pattern: the servers of a service say that they fail if they have to turn
more than a few requests away in a second, summed over all instances, and there
are more requests than they have room for.
"""

import math
import random
from collections.abc import Callable

import msgspec

from oatcrank import ids, logs
from oatcrank.routing import server

# Servers count as brittle for this time after the last answer that says so, as
# answers may overtake each other.
STATED_S = 1.0
# Share of the rejections allowed in a second that trial requests of all
# instances may cause at a server that has just turned requests away.
TRIAL_SHARE = 0.25
MAX_PAUSE_S = 10.0
# For this time after a server has turned a request away, it is taken to have
# no more room than it had then, and each instance uses its own part only.
FULL_S = 5.0
# Part of the room that is left if a full server does not report its load.
FULL_SHARE = 0.75
# A server that is less full has turned a request away for another reason.
MIN_FULL_SHARE = 0.5

InstanceCount = Callable[[], int]
IsRanked = Callable[[ids.ServerId, int], bool]


class _Statement(msgspec.Struct):
    """How many rejections a second the servers of a service allow."""

    rejections_per_s: float
    stated_s: float
    # Share of their slots that servers had room for when they turned requests
    # away; those of a service are limited by the same.
    slot_share: float = 1
    slots_until_s: float = -math.inf


class _Full(msgspec.Struct, frozen=True):
    """Times after a server has turned a request away."""

    until_s: float
    paused_until_s: float


class BrittleServers:
    """Decide whether brittle servers have room for one more request."""

    def __init__(
        self,
        instances: InstanceCount,
        is_ranked: IsRanked,
        rng: random.Random,
    ) -> None:
        """Share the slots of servers with a number of instances.

        is_ranked returns whether this instance is among the first ones for a
        server, in an order in which all instances agree.
        """
        self._instances = instances
        self._is_ranked = is_ranked
        self._rng = rng
        self._statement_by_service: dict[ids.ServiceName, _Statement] = {}
        self._full_by_id: dict[ids.ServerId, _Full] = {}

    def record_answer(
        self,
        target: server.Server,
        rejections_per_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what an answer says of all servers of its service.

        sent_s is when the request was sent, and rejections_per_s is None if
        the server does not say that it is brittle.
        """
        service = target.registration.service
        known = self._statement_by_service.get(service)
        if rejections_per_s is not None:
            if known is None:
                known = _Statement(rejections_per_s, now_s)
                logs.event(
                    'servers_brittle',
                    service=service,
                    rejections_per_s=rejections_per_s,
                )
                self._statement_by_service[service] = known
            known.rejections_per_s = rejections_per_s
            known.stated_s = now_s
        elif known is not None and sent_s > known.stated_s + STATED_S:
            del self._statement_by_service[service]
            logs.event('servers_no_longer_brittle', service=service)

    def record_rejected(self, target: server.Server, now_s: float) -> None:
        """Leave a server alone that has just turned a request away."""
        statement = self._statement(target)
        if statement is None:
            return
        trials_per_s = TRIAL_SHARE * statement.rejections_per_s
        pause_s = MAX_PAUSE_S
        if trials_per_s > 0:
            pause_s = min(pause_s, self._instances() / trials_per_s)
        # The spread keeps instances from returning at the same time.
        pause_s *= 0.5 + self._rng.random()
        slots = self._slots(target, now_s)
        reported = target.reported_load(now_s)
        room = slots * FULL_SHARE if reported is None else reported
        room = min(slots, max(room, slots * MIN_FULL_SHARE))
        self._full_by_id[target.server_id] = _Full(
            until_s=now_s + pause_s + FULL_S,
            paused_until_s=now_s + pause_s,
        )
        statement.slot_share = room / target.registration.slots
        statement.slots_until_s = now_s + pause_s + FULL_S

    def has_room(self, target: server.Server, now_s: float) -> bool:
        """Return whether a request may be sent to a server."""
        if self._statement(target) is None:
            return True
        full = self._full(target, now_s)
        if full is not None and now_s < full.paused_until_s:
            return False
        if target.in_flight < self._own_slots(target, now_s):
            return True
        if full is not None:
            return False
        slots = self._slots(target, now_s)
        # Each other instance may have a request on its way unseen.
        unseen = self._instances() - 1
        requests = target.load(now_s) * target.registration.slots
        return requests + unseen + 1 <= slots

    def return_s(self) -> float:
        """Return when a refused caller should return, in seconds."""
        return 0.5 + self._rng.random()

    def _statement(self, target: server.Server) -> _Statement | None:
        return self._statement_by_service.get(target.registration.service)

    def _full(self, target: server.Server, now_s: float) -> _Full | None:
        full = self._full_by_id.get(target.server_id)
        return None if full is None or now_s >= full.until_s else full

    def _slots(self, target: server.Server, now_s: float) -> float:
        slots = target.registration.slots
        statement = self._statement(target)
        if statement is None or now_s >= statement.slots_until_s:
            return slots
        return slots * statement.slot_share

    def _own_slots(self, target: server.Server, now_s: float) -> int:
        """Return the slots that no other instance uses."""
        slots = max(1, int(self._slots(target, now_s)))
        each, rest = divmod(slots, max(1, self._instances()))
        return each + self._is_ranked(target.server_id, rest)
