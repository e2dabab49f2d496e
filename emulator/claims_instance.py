"""Run the claims of one entry instance on a loopback port."""

import asyncio
import collections
from typing import Any

from tornado import httpserver, netutil, web

from emulator import faulty_key_value, faulty_rpc, settable_members
from oatcrank import clock, ids, metrics, refusal
from oatcrank.claims import (
    acquired_claim,
    claim,
    claim_handlers,
    claimed_answer,
    claims,
    existing_claim,
)
from oatcrank.membership import member
from oatcrank.settings import claims_settings
from oatcrank.store import keyvalue

HOST = '127.0.0.1'
PROFILE = ids.ProfileName('bookings')
OK_STATUS = 200
REJECTED = refusal.Refusal(
    code=refusal.Code.overloaded,
    message='rejected before dispatch',
    run_state=refusal.RunState.did_not_run,
)


class ClaimsInstance:
    """Claim keys and simulate requests; a ledger counts dispatches."""

    def __init__(
        self,
        *,
        name: str,
        store: keyvalue.KeyValue,
        settings: claims_settings.ClaimsSettings,
        clock: clock.Clock,
        ledger: collections.Counter[str],
        client: faulty_rpc.FaultyRpc | None = None,
    ) -> None:
        """Listen on a free port."""
        sockets = netutil.bind_sockets(0, HOST)
        port = sockets[0].getsockname()[1]
        self.this = member.Member(
            instance_id=ids.InstanceId(name),
            address=f'{HOST}:{port}',
            failure_domain=ids.FailureDomain('a'),
            incarnation=1,
        )
        self.store = faulty_key_value.FaultyKeyValue(store)
        self.client = client or faulty_rpc.FaultyRpc()
        self.peers = settable_members.SettableMembers(self.this)
        self.claims = claims.Claims(
            store=self.store,
            members=self.peers,
            client=self.client,
            settings=settings,
            clock=clock,
            metrics=metrics.NoMetrics(),
        )
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.rejects_requests = False
        self._ledger = ledger
        self._server = httpserver.HTTPServer(
            web.Application(
                self._routes(),
                log_function=_log_nothing,
            ),
        )
        self._server.add_sockets(sockets)

    async def run(
        self,
        key: str,
        body: bytes = b'',
    ) -> claimed_answer.ClaimedAnswer:
        """Run a request or return its stored answer; raises Refused."""
        claimed = await self.acquire(key, body)
        if not isinstance(claimed, acquired_claim.AcquiredClaim):
            return await claimed.answer()
        await self.client.resumed.wait()
        if self.rejects_requests or not self.dispatch(key, claimed):
            await self.claims.release(claimed.attempt)
            raise refusal.Refused(REJECTED)
        await self.may_finish.wait()
        answer = answer_to(key)
        await self.claims.end(claimed.attempt, answer)
        return answer

    async def acquire(
        self,
        key: str,
        body: bytes = b'',
    ) -> acquired_claim.AcquiredClaim | existing_claim.ExistingClaim:
        """Claim a key, or return its existing claim; raises Refused."""
        return await self.claims.acquire(
            key=key,
            profile=PROFILE,
            fingerprint=claim.fingerprint_of(body),
            request_id=ids.RequestId(f'{self.this.instance_id}-{key}'),
        )

    def dispatch(
        self, key: str, acquired: acquired_claim.AcquiredClaim
    ) -> bool:
        """Count a dispatch in the ledger if it is still allowed."""
        allowed = self.claims.may_dispatch(acquired.attempt)
        if allowed:
            self._ledger[key] += 1
        return allowed

    def pause(self) -> None:
        """Block all network and store calls, like a paused process."""
        self.client.resumed.clear()
        self.store.resumed.clear()

    def resume(self) -> None:
        """Continue the blocked calls."""
        self.client.resumed.set()
        self.store.resumed.set()

    async def stop(self) -> None:
        """Close the port and the connections."""
        self.resume()
        self._server.stop()
        await self._server.close_all_connections()
        await self.claims.close()
        self.client.close()

    def _routes(self) -> list[claim_handlers.Route]:
        resumed = self.client.resumed
        return [
            (path, _paused(handler, resumed), bound)
            for path, handler, bound in claim_handlers.routes(self.claims)
        ]


def answer_to(key: str) -> claimed_answer.ClaimedAnswer:
    """Return the answer that every run of a key gives."""
    return claimed_answer.ClaimedAnswer(
        status=OK_STATUS,
        content_type='text/plain',
        body=f'done {key}'.encode(),
    )


def _paused(handler: type, resumed: asyncio.Event) -> type:
    async def prepare(_: Any) -> None:
        await resumed.wait()

    return type(handler.__name__, (handler,), {'prepare': prepare})


def _log_nothing(_: Any) -> None:
    """Disable the access log."""
