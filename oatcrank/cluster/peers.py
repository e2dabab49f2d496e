"""Define the interface between instances and its HTTP/JSON client."""

import abc
from typing import TypeVar

import msgspec

from oatcrank import decoding, errors
from oatcrank.cluster import (
    crash_messages,
    lease_holder,
    peer_messages,
    relay_messages,
    stream_origin_messages,
)
from oatcrank.transport import calls
from oatcrank.transport import errors as transport_errors

PATH_PREFIX = '/peer/'
OK = 200
MAX_ORIGINS_BYTES = 2_097_152

Reply = TypeVar('Reply', bound=msgspec.Struct)


class PeerUnreachable(errors.OatcrankError):
    """Raised when an instance did not answer a message."""


class PeerGone(PeerUnreachable):
    """Raised when no process listens at an instance's address."""


class Peer(abc.ABC):
    """Interface for handling messages from other instances."""

    @abc.abstractmethod
    async def request_placement(
        self,
        query: peer_messages.PlacementQuery,
    ) -> peer_messages.PlacementReply:
        """Place a model or adapter on a backend server."""

    @abc.abstractmethod
    async def report_demand(
        self,
        report: peer_messages.DemandReport,
    ) -> peer_messages.Acknowledgement:
        """Record the demand that another instance reports."""

    @abc.abstractmethod
    async def report_crashes(
        self,
        report: crash_messages.CrashReport,
    ) -> peer_messages.Acknowledgement:
        """Record requests that a peer suspects of crashing servers."""

    @abc.abstractmethod
    async def clear_answered(
        self,
        answered: crash_messages.Answered,
    ) -> peer_messages.Acknowledgement:
        """Clear suspected parts of a prompt that a server has answered."""

    @abc.abstractmethod
    async def confirm_holder(
        self,
        query: peer_messages.ConfirmQuery,
    ) -> peer_messages.Confirmation:
        """Return whether a holder is the newest known to this instance."""

    @abc.abstractmethod
    async def announce_holder(
        self,
        new_holder: lease_holder.LeaseHolder,
    ) -> peer_messages.Acknowledgement:
        """Record the new holder of the order lease."""

    @abc.abstractmethod
    async def announce_unload(
        self,
        notice: peer_messages.UnloadNotice,
    ) -> peer_messages.Acknowledgement:
        """Stop routing requests for a model that a server is unloading."""

    @abc.abstractmethod
    async def answer_origin(
        self,
        query: stream_origin_messages.OriginQuery,
    ) -> stream_origin_messages.OriginAnswer:
        """Return what this instance knows of a stream."""

    @abc.abstractmethod
    async def answer_origins(
        self,
        query: stream_origin_messages.OriginsQuery,
    ) -> stream_origin_messages.KnownOrigins:
        """Return the origins of all streams that began lately."""

    @abc.abstractmethod
    async def request_stop(
        self,
        query: peer_messages.StopQuery,
    ) -> peer_messages.StopReply:
        """Stop sending orders under older fences."""


class Client:
    """Client for sending messages to other instances."""

    async def send(
        self,
        address: str,
        message_name: str,
        message: msgspec.Struct,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Return an instance's reply or raise PeerUnreachable."""
        try:
            called = await calls.call(
                address,
                calls.Call(
                    method='POST',
                    target=PATH_PREFIX + message_name,
                    body=msgspec.json.encode(message),
                    max_response_bytes=_max_reply_bytes(reply_type),
                ),
                timeout_s,
            )
        except transport_errors.ConnectionRefused as error:
            raise PeerGone(f'{message_name}: {error}') from error
        except errors.BackendError as error:
            raise PeerUnreachable(f'{message_name}: {error}') from error
        if called.status != OK:
            raise PeerUnreachable(
                f'{message_name}: {address} returned status {called.status}',
            )
        try:
            return decoding.from_json(called.body, expected=reply_type)
        except msgspec.MsgspecError as error:
            raise PeerUnreachable(
                f'{message_name}: unreadable reply from {address}: {error}',
            ) from error


def _max_reply_bytes(reply_type: type[msgspec.Struct]) -> int:
    if reply_type is relay_messages.ChangesReply:
        return calls.MAX_BODY_BYTES
    if reply_type is stream_origin_messages.KnownOrigins:
        return MAX_ORIGINS_BYTES
    return calls.USUAL_BODY_BYTES
