"""Define the interface between forwarding and the HTTP wire format."""

import abc

import msgspec

from oatcrank import errors, ids
from oatcrank.forwarding import caller_request
from oatcrank.routing import (
    server_pause,
    server_process,
    server_registration,
)
from oatcrank.transport import message


class MalformedRequest(errors.OatcrankError):
    """Raised for a caller's request that can't be decoded."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Load that a server reports with an answer."""

    running: int
    waiting: int


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a server's answer.

    signed: the answer has the header that servers set on their own answers.
    not_executed: the server reports that it did not run the request.
    misdirected: the server answered 421 (Misdirected Request).
    content_encoded: the body has a content encoding.
    idle_timeout_s: how long the server keeps an idle connection open.
    limit_per_s: requests a second that the server takes from all instances
        together; None if it names no limit.
    leaving: the server says that it leaves.
    pause: for how long the server wants nothing from this instance.
    max_rejections_per_s: requests that the server can turn away in a second
        for want of room without ending; None if it does not say so.
    """

    request_id: ids.RequestId | None
    signed: bool
    not_executed: bool
    misdirected: bool
    content_encoded: bool
    load: ServerLoad | None
    idle_timeout_s: float | None
    limit_per_s: float | None = None
    leaving: bool = False
    pause: server_pause.RequestedPause | None = None
    max_rejections_per_s: float | None = None

    @property
    def tells_limit(self) -> bool:
        """Return whether the server says here if it has a limit.

        Only an answer to a request that it has run says that it has none.
        """
        if self.misdirected:
            return False
        if self.limit_per_s is not None:
            return True
        return self.signed and not self.not_executed


class SendParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one send.

    left_s is the time left in seconds; priority 0 is the most urgent.
    """

    registration: server_registration.Registration
    left_s: float
    priority: int
    last_event_id: int | None


class WireProtocol(abc.ABC):
    """Interface for encoding requests and decoding answers."""

    @abc.abstractmethod
    def decode_request(
        self, raw: message.Request
    ) -> caller_request.CallerRequest:
        """Decode a caller's request or raise MalformedRequest."""

    @abc.abstractmethod
    def remove_credentials(self, headers: message.Headers) -> message.Headers:
        """Return headers without keys and without names of organisations."""

    @abc.abstractmethod
    def encode_relayed(
        self, raw: message.Request, left_s: float, sends: int
    ) -> bytes:
        """Encode a request for another instance.

        left_s is the time left; so many sends of it have reached servers.
        """

    @abc.abstractmethod
    def unreached(self, sends: int) -> message.Headers:
        """Return the headers of a refusal by an instance without servers.

        So many sends of the request have reached servers before.
        """

    @abc.abstractmethod
    def is_unreached(self, head: message.ResponseHead) -> bool:
        """Return whether an instance has refused since it has no servers."""

    @abc.abstractmethod
    def unreached_sends(self, head: message.ResponseHead) -> int:
        """Return how many sends had reached servers before such a refusal."""

    @abc.abstractmethod
    def passed_leaving(
        self, leaving: server_process.RegisteredProcess
    ) -> message.Headers:
        """Return the headers that tell an instance which server leaves."""

    @abc.abstractmethod
    def take_leaving(
        self, head: message.ResponseHead
    ) -> server_process.RegisteredProcess | None:
        """Remove these headers from an answer; return what they tell."""

    @abc.abstractmethod
    def challenge(self) -> message.Headers:
        """Return the headers that tell a caller how to present a key."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: caller_request.CallerRequest,
        parameters: SendParameters,
    ) -> bytes:
        """Encode the request for a server."""

    @abc.abstractmethod
    def decode_answer_head(self, head: message.ResponseHead) -> AnswerHead:
        """Decode the head of an answer."""
