"""Serve claims and attempts to the other instances."""

import asyncio
from typing import Any

from oatcrank import errors, ids
from oatcrank.claims import (
    attempt_query,
    attempt_reply,
    claim_attempts,
    claim_forwarder,
    claim_holders,
    claim_offers,
    claim_refusals,
    claims,
)
from oatcrank.entry import json_handler

MAX_WAIT_S = 10.0

Route = tuple[str, type, dict[str, Any]]


class ClaimsHandler(json_handler.JsonHandler):
    """Commit entries that other instances hand over."""

    def initialize(self, served: claims.Claims) -> None:
        """Serve this instance's claims."""
        self._served = served

    async def post(self) -> None:
        """Answer who holds each entry's key."""
        message = self.decode(claim_offers.ClaimOffers)
        router = self._served.router
        try:
            holders = await asyncio.gather(
                *(router.submit_here(offer) for offer in message.offers),
            )
        except errors.PlatformError as error:
            raise claim_refusals.platform_unavailable(
                ids.RequestId(''),
                error,
            ) from error
        self.answer(claim_holders.ClaimHolders(holders=list(holders)))


class AttemptsHandler(json_handler.JsonHandler):
    """Tell other instances how attempts of this one stand."""

    def initialize(self, served: claims.Claims) -> None:
        """Serve this instance's attempts."""
        self._served = served

    async def post(self) -> None:
        """Answer how an attempt stands, waiting for its end if asked to."""
        query = self.decode(attempt_query.AttemptQuery)
        self.answer(await self._reply(query))

    async def _reply(
        self,
        query: attempt_query.AttemptQuery,
    ) -> attempt_reply.AttemptReply:
        if query.wait_s > MAX_WAIT_S:
            query = attempt_query.AttemptQuery(
                attempt=query.attempt,
                wait_s=MAX_WAIT_S,
            )
        return await self._served.attempts.reply(query)


def routes(served: claims.Claims) -> list[Route]:
    """Return the routes by which instances reach each other's claims."""
    bound = {'served': served}
    return [
        (claim_forwarder.PATH, ClaimsHandler, bound),
        (claim_attempts.PATH, AttemptsHandler, bound),
    ]
