"""Define the interface between forwarding and the HTTP wire format."""

import abc

import msgspec

from oatcrank import errors, ids
from oatcrank.forwarding import caller_request
from oatcrank.routing import server_registration
from oatcrank.transport import message


class Malformed(errors.OatcrankError):
    """Raised for a caller's request that can't be decoded."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Load that a server reports with an answer."""

    running: int
    waiting: int


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Decoded head of a server's answer.

    signed: the answer has the header that servers set on their own answers.
    not_run: the server reports that it did not run the request.
    elsewhere: the server answered 421 (Misdirected Request).
    encoded: the body has a content encoding.
    idle_s: how long the server keeps an idle connection open.
    """

    request_id: ids.RequestId | None
    signed: bool
    not_run: bool
    elsewhere: bool
    encoded: bool
    load: ServerLoad | None
    idle_s: float | None


class Sending(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one send; left_s is the time left in seconds."""

    listed: server_registration.Registration
    left_s: float
    urgency: int
    last_event_id: int | None


class WireProtocol(abc.ABC):
    """Encode requests and decode answers."""

    @abc.abstractmethod
    def decode(self, raw: message.Request) -> caller_request.CallerRequest:
        """Decode a caller's request or raise Malformed."""

    @abc.abstractmethod
    def encode(
        self,
        request: caller_request.CallerRequest,
        sending: Sending,
    ) -> bytes:
        """Encode the request for a server."""

    @abc.abstractmethod
    def read(self, head: message.ResponseHead) -> Answer:
        """Decode the head of an answer."""
