"""In-process network: instances call each other without sockets."""

import asyncio
from http import HTTPStatus

import msgspec

from emulator import claims_instance
from oatcrank import errors, refusal, rpc
from oatcrank.claims import (
    attempt_query,
    claim_attempts,
    claim_holders,
    claim_offers,
)


class MemoryNetwork:
    """Network whose calls go on at the receiver after the caller's timeout."""

    def __init__(self) -> None:
        """Start without instances."""
        self._instance_by_address: dict[
            str, claims_instance.ClaimsInstance
        ] = {}
        self._calls: set[asyncio.Task[bytes]] = set()

    def add(self, instance: claims_instance.ClaimsInstance) -> None:
        """Accept calls to an instance at its address."""
        self._instance_by_address[instance.this.address] = instance

    def remove(self, instance: claims_instance.ClaimsInstance) -> None:
        """Refuse further calls to an instance."""
        self._instance_by_address.pop(instance.this.address, None)

    async def call(
        self,
        address: str,
        path: str,
        body: bytes,
        *,
        timeout_s: float,
    ) -> bytes:
        """Return the answer of the instance at the address."""
        instance = self._instance_by_address.get(address)
        if instance is None:
            raise errors.Unavailable(f'{address}: connection refused')
        call = asyncio.create_task(_answer(instance, path, body))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        await asyncio.wait([call], timeout=timeout_s)
        if not call.done():
            raise errors.UnknownOutcome(f'{address}: timeout')
        return call.result()


async def _answer(
    instance: claims_instance.ClaimsInstance,
    path: str,
    body: bytes,
) -> bytes:
    await instance.client.resumed.wait()
    if path == claim_attempts.PATH:
        query = msgspec.json.decode(body, type=attempt_query.AttemptQuery)
        reply = await instance.claims.attempts.reply(query)
        return msgspec.json.encode(reply)
    message = msgspec.json.decode(body, type=claim_offers.ClaimOffers)
    router = instance.claims.router
    try:
        holders = [await router.submit_here(offer) for offer in message.offers]
    except errors.PlatformError as error:
        raise rpc.RpcStatusError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            msgspec.json.encode(
                refusal.Refusal(
                    code=refusal.Code.platform_unavailable,
                    message=str(error),
                    run_state=refusal.RunState.did_not_run,
                ),
            ),
        ) from error
    return msgspec.json.encode(claim_holders.ClaimHolders(holders=holders))
