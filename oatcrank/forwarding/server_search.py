"""Find a server for a request, and have loaded what none holds."""

from oatcrank import ids, logs
from oatcrank.forwarding import arranger, caller_request, parts, refusal
from oatcrank.routing import admission, choice, need, route, server

NOBODY_RETURN_S = 0.5
SHORTEST_LOOK_S = 0.01
# How long a request waits in all while nothing is ordered for it.
LONGEST_IDLE_S = 0.8
EXPECTED_PLAIN_S = 0.05
EXPECTED_STREAM_S = 0.3
# How long a stream takes to begin where a slot is free.
BEGIN_S = 0.1


class ServerSearch:
    """Search on behalf of one request."""

    def __init__(
        self,
        shared: parts.Parts,
        request: caller_request.CallerRequest,
        on_route: route.Route,
        wanted: need.Need,
        ends_s: float,
    ) -> None:
        """Search while the caller still waits for the answer to begin."""
        self._shared = shared
        self._request = request
        self._route = on_route
        self._wanted = wanted
        self._ends_s = ends_s
        self._starts_by_s = ends_s
        self._on_time_by_s = request.began_s + on_route.target_s
        self.count_patience(request.began_s)
        self._avoided: set[ids.ServerId] = set()
        self._disliked: set[ids.ServerId] = set()
        self._behind_s_by_id: dict[ids.ServerId, float] = {}
        self._idle_s = float(0)
        self._waited = False

    def avoid(self, server_id: ids.ServerId) -> None:
        """Never choose a server again."""
        self._avoided.add(server_id)

    def avoid_if_possible(self, server_id: ids.ServerId) -> None:
        """Choose a server again only where there is no other."""
        self._disliked.add(server_id)

    def pass_behind(self, server_id: ids.ServerId, wait_s: float) -> None:
        """Look for a server that is not so far behind with prompts."""
        self._behind_s_by_id[server_id] = wait_s
        logs.event(
            'server_behind',
            request=self._request.request_id,
            server=server_id,
            wait_s=round(wait_s, 3),
        )

    def count_patience(self, from_s: float) -> None:
        """Count the caller's patience from what it has seen last.

        A stream that goes on elsewhere has begun: only patience counts then.
        """
        if from_s > self._request.began_s:
            self._on_time_by_s = self._ends_s
        if self._route.patience_s is not None:
            patient_s = from_s + self._route.patience_s
            self._starts_by_s = min(self._ends_s, patient_s)

    async def find(self, tried: list[ids.ServerId]) -> server.Server:
        """Return a server or raise refusal.Refused."""
        only = frozenset[ids.ServerId]()
        if len(tried) >= self._route.max_servers:
            only = frozenset(tried)
        while True:
            chosen = self._choose(only)
            if chosen is not None:
                self._admit(chosen)
                return chosen
            self._check_behind()
            await self._arrange(only)

    def _check_behind(self) -> None:
        """Refuse at once what all servers would begin too late."""
        if self._behind_s_by_id:
            raise refusal.Refused(
                'all servers are behind with prompts',
                admission.spread_out(
                    min(self._behind_s_by_id.values()),
                    self._shared.dice.random(),
                ),
            )

    def _choose(self, only: frozenset[ids.ServerId]) -> server.Server | None:
        avoided_ids = self._avoided | self._behind_s_by_id.keys()
        for avoided in (avoided_ids | self._disliked, avoided_ids):
            chosen = self._shared.chooser.choose(
                self._shared.servers.of_service(self._wanted.service),
                choice.Wish(
                    wanted=self._wanted,
                    prefix=self._request.prefix,
                    avoid=frozenset(avoided),
                    only=only,
                ),
                self._shared.now(),
            )
            if chosen is not None:
                return chosen
        return None

    def _admit(self, chosen: server.Server) -> None:
        now_s = self._shared.now()
        slots = chosen.listed.slots
        pressure = admission.Pressure(
            requests=chosen.load(now_s) * slots,
            slots=slots,
            service_s=BEGIN_S if self._route.streaming else EXPECTED_PLAIN_S,
            seen_wait_s=chosen.seen_wait_s(now_s),
        )
        begins_by_s = self._starts_by_s
        if self._route.streaming:
            # One more in a full server makes all of them late.
            begins_by_s = min(begins_by_s, self._on_time_by_s)
        return_s = admission.return_s(
            pressure,
            begins_by_s - now_s,
            self._shared.dice.random(),
        )
        if return_s is not None:
            raise refusal.Refused('would start too late', return_s)
        chosen.take_trial(now_s)

    def _log_wait(self, arranged: arranger.Arrangement) -> None:
        """Log the first wait of a request; its end tells the rest."""
        if self._waited:
            return
        self._waited = True
        logs.event(
            'request_waits',
            request=self._request.request_id,
            model=self._wanted.model,
            adapter=self._wanted.adapter or '',
            ready_in_s=round(arranged.ready_in_s, 3),
            refused=arranged.refused,
        )

    def _may_wait(self, arranged: arranger.Arrangement) -> bool:
        """Tell whether to ask again soon instead of refusing."""
        if arranged.hopeless:
            return False
        return self._idle_s + arranged.ready_in_s <= LONGEST_IDLE_S

    async def _arrange(self, only: frozenset[ids.ServerId]) -> None:
        if self._wanted.model is None or only:
            raise refusal.Refused('no server to use', NOBODY_RETURN_S)
        arranged = await self._shared.arranger.arrange(self._wanted)
        if arranged.refused and not self._may_wait(arranged):
            raise refusal.Refused(arranged.refused, arranged.ready_in_s)
        ends_s = min(self._starts_by_s, self._shared.stops_s)
        left_s = ends_s - self._shared.now()
        if arranged.ready_in_s + EXPECTED_STREAM_S > left_s:
            raise refusal.Refused('loads too late', arranged.ready_in_s)
        self._log_wait(arranged)
        if arranged.refused:
            self._idle_s += arranged.ready_in_s
        await self._shared.servers.changed(
            max(SHORTEST_LOOK_S, arranged.ready_in_s),
        )
