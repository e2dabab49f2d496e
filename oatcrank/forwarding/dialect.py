"""Translate requests and answers from and to the wire."""

import abc

import msgspec

from oatcrank import errors, ids
from oatcrank.forwarding import caller_request
from oatcrank.routing import listing
from oatcrank.transport import message


class Malformed(errors.OatcrankError):
    """Report a caller's request that can't be understood."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Hold the load that a server tells with an answer."""

    running: int
    waiting: int


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the head of a server's answer says.

    not_run: the server says that it did not run the request.  signed: the
    answer bears the mark of a server's own answers.
    """

    request_id: ids.RequestId | None
    signed: bool
    not_run: bool
    elsewhere: bool
    encoded: bool
    load: ServerLoad | None
    idle_s: float | None


class Sending(msgspec.Struct, frozen=True, kw_only=True):
    """Say how a request is sent to one server; time left in seconds."""

    listed: listing.Listing
    left_s: float
    urgency: int
    last_event_id: int | None


class Dialect(abc.ABC):
    """Know the names that the wire uses."""

    @abc.abstractmethod
    def decode(self, raw: message.Request) -> caller_request.CallerRequest:
        """Return a caller's request or raise Malformed."""

    @abc.abstractmethod
    def encode(
        self,
        request: caller_request.CallerRequest,
        sending: Sending,
    ) -> bytes:
        """Return the request as it goes to a server."""

    @abc.abstractmethod
    def read(self, head: message.ResponseHead) -> Answer:
        """Return what the head of an answer says."""
