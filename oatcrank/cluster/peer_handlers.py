"""Serve the messages of other instances."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado import web

from oatcrank import logs
from oatcrank.cluster import holding, peer_messages, peers

BAD_REQUEST = 400

Route = tuple[str, type[web.RequestHandler], dict[str, Any]]


class PeerHandler(web.RequestHandler):
    """Decode one kind of message and answer it."""

    def initialize(
        self,
        question: type[msgspec.Struct],
        answer: Callable[[msgspec.Struct], Awaitable[msgspec.Struct]],
    ) -> None:
        """Answer questions of one type."""
        self._question = question
        self._answer = answer

    async def post(self) -> None:
        """Answer one message."""
        try:
            question = msgspec.json.decode(
                self.request.body,
                type=self._question,
            )
        except msgspec.MsgspecError as error:
            logs.event(
                'peer_message_malformed',
                path=self.request.path,
                peer=self.request.remote_ip,
                error=error,
            )
            self.set_status(BAD_REQUEST)
            return
        answer = await self._answer(question)
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(answer))


def handlers(one: peers.Peer) -> list[Route]:
    """Return the routes of an instance's own messages."""
    kinds = (
        ('arrange', peer_messages.ArrangeQuery, one.arrange),
        ('demand', peer_messages.DemandReport, one.demand),
        ('crashes', peer_messages.CrashReport, one.crashes),
        ('unloads', peer_messages.UnloadNews, one.unloads),
        ('vouch', peer_messages.VouchQuery, one.vouch),
        ('holder', holding.Holding, one.holder),
        ('stop', peer_messages.StopQuery, one.stop),
    )
    return [
        (
            peers.PATH + word,
            PeerHandler,
            {'question': question, 'answer': answer},
        )
        for word, question, answer in kinds
    ]
