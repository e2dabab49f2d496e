"""Define the HTTP handlers for messages from other instances."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado import web

from oatcrank import decoding, logs
from oatcrank.cluster import (
    change_relay,
    crash_messages,
    lease_holder,
    peer_messages,
    peers,
    relay_messages,
    stream_origin_messages,
)

BAD_REQUEST = 400

Route = tuple[str, type[web.RequestHandler], dict[str, Any]]


class PeerHandler(web.RequestHandler):
    """Decode messages of one type and send the reply."""

    def initialize(
        self,
        message_type: type[msgspec.Struct],
        handle: Callable[[msgspec.Struct], Awaitable[msgspec.Struct]],
    ) -> None:
        """Pass messages of one type to a callback."""
        self._message_type = message_type
        self._handle = handle

    async def post(self) -> None:
        """Reply to one message."""
        try:
            message = decoding.from_json(
                self.request.body,
                expected=self._message_type,
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
        reply = await self._handle(message)
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(reply))


def handlers(peer: peers.Peer, relay: change_relay.ChangeRelay) -> list[Route]:
    """Return one route for each message type that a peer handles."""
    messages = (
        ('arrange', peer_messages.PlacementQuery, peer.request_placement),
        ('demand', peer_messages.DemandReport, peer.report_demand),
        ('crashes', crash_messages.CrashReport, peer.report_crashes),
        ('answered-parts', crash_messages.Answered, peer.clear_answered),
        ('unloads', peer_messages.UnloadNotice, peer.announce_unload),
        ('vouch', peer_messages.ConfirmQuery, peer.confirm_holder),
        ('holder', lease_holder.LeaseHolder, peer.announce_holder),
        ('stop', peer_messages.StopQuery, peer.request_stop),
        (
            'stream-origin',
            stream_origin_messages.OriginQuery,
            peer.answer_origin,
        ),
        (
            stream_origin_messages.ORIGINS_NAME,
            stream_origin_messages.OriginsQuery,
            peer.answer_origins,
        ),
        (
            relay_messages.MESSAGE_NAME,
            relay_messages.ChangesQuery,
            relay.answer,
        ),
    )
    return [
        (
            peers.PATH_PREFIX + name,
            PeerHandler,
            {'message_type': message_type, 'handle': handle},
        )
        for name, message_type, handle in messages
    ]
