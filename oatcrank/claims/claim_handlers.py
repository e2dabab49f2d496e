"""HTTP handlers for claims and attempts, used by other instances."""

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
    """Commit entries that other instances forward."""

    def initialize(self, claims: claims.Claims) -> None:
        """Use this instance's claims."""
        self._claims = claims

    async def post(self) -> None:
        """Commit the offers and return the holder of each key."""
        message = self.decode(claim_offers.ClaimOffers)
        router = self._claims.router
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
    """Report the state of this instance's attempts."""

    def initialize(self, claims: claims.Claims) -> None:
        """Use this instance's attempts."""
        self._claims = claims

    async def post(self) -> None:
        """Return the state of an attempt, waiting for its end if asked to."""
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
        return await self._claims.attempts.reply(query)


def routes(claims: claims.Claims) -> list[Route]:
    """Return the routes for claims and attempts between instances."""
    arguments = {'claims': claims}
    return [
        (claim_forwarder.PATH, ClaimsHandler, arguments),
        (claim_attempts.PATH, AttemptsHandler, arguments),
    ]
