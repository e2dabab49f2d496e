"""Read the requests of one connection within limits."""

import abc
import http
import time
from collections.abc import Callable

import httptools

from oatcrank.transport import limits, message, partial_request

CONNECT = b'CONNECT'
# Some callers send empty lines after a request.
LINE_ENDS = b'\r\n'
# What arrives is parsed in pieces, so that the limits hold after each of them.
HEAD_PIECE_BYTES = 4_096
BODY_PIECE_BYTES = 65_536


class Listener(abc.ABC):
    """Interface of a connection whose requests are read."""

    @abc.abstractmethod
    def on_request_begin(self) -> None:
        """Handle the first byte of a request."""

    @abc.abstractmethod
    def on_head(self) -> None:
        """Handle the end of the head of a request."""

    @abc.abstractmethod
    def on_request(self, request: message.Request, kept_bytes: int) -> None:
        """Handle a whole request, and the memory that is kept for it."""

    @abc.abstractmethod
    def on_invalid(self, status: http.HTTPStatus, reason: str) -> None:
        """Refuse what arrives; called again if more of it follows."""


class MessageReader:
    """Parse requests, and pass them to a listener."""

    def __init__(
        self, listener: Listener, get_limits: Callable[[], limits.Limits]
    ) -> None:
        """Start before the first request."""
        self._listener = listener
        self._get_limits = get_limits
        self._partial = partial_request.PartialRequest()
        self._stopped = False
        self._new_parser()
        # The address of the caller, without its port.
        self.peer = ''
        # Whether a request has begun to arrive.
        self.reading = False

    @property
    def kept_bytes(self) -> int:
        """Return the memory that is kept for the request that arrives."""
        return self._partial.kept_bytes

    @property
    def piece_bytes(self) -> int:
        """Return how much to parse at a time."""
        in_body = self.reading and self._partial.headers_done
        return BODY_PIECE_BYTES if in_body else HEAD_PIECE_BYTES

    def feed(self, piece: bytes) -> None:
        """Parse what has arrived."""
        if not self.reading and piece.strip(LINE_ENDS):
            self.reading = True
            self._partial.began_s = time.monotonic()
            self._listener.on_request_begin()
        self._partial.header_bytes += len(piece)
        self._parse(piece)

    def stop(self) -> None:
        """Drop the request that arrives, and complete no other one."""
        self._stopped = True
        self._partial = partial_request.PartialRequest()

    def take_expectation(self) -> bool:
        """Return once whether the caller waits to send the body."""
        expects = self._partial.expects_continue
        self._partial.expects_continue = False
        return expects

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self.reading = True
        self._partial = partial_request.PartialRequest()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._partial.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Append one header; drop a field of the trailer."""
        if not self._partial.headers_done:
            self._partial.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the size of the head."""
        if self._parser.should_upgrade():
            return
        self._partial.headers_done = True
        if self._partial.head_size > self._get_limits().max_header_bytes:
            self._refuse_head()
            return
        self._partial.header_bytes = 0
        expected = message.find_header(self._partial.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            self._partial.expects_continue = True
        self._listener.on_head()

    def on_body(self, body: bytes) -> None:
        """Append to the body and check its size."""
        self._partial.header_bytes = 0
        self._partial.body += body
        if len(self._partial.body) > self._get_limits().max_body_bytes:
            self._listener.on_invalid(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large'
            )

    def on_message_complete(self) -> None:
        """Pass on the request."""
        if self._stopped or self._parser.should_upgrade():
            return
        self.reading = False
        arrived = self._partial
        self._partial = partial_request.PartialRequest()
        self._listener.on_request(
            message.Request(
                method=self._parser.get_method(),
                target=arrived.target,
                headers=arrived.headers,
                body=bytes(arrived.body),
                began_s=arrived.began_s,
                peer=self.peer,
                keep_alive=self._parser.should_keep_alive(),
            ),
            arrived.kept_bytes,
        )

    def _parse(self, piece: bytes) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade(piece[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self._listener.on_invalid(http.HTTPStatus.BAD_REQUEST, str(error))
        if self.reading or not self._partial.headers_done:
            self._check_head()

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Read a request again without its offer to upgrade.

        With the offer, the parser takes its body for another protocol.
        """
        if self._parser.get_method() == CONNECT:
            self._listener.on_invalid(
                http.HTTPStatus.NOT_IMPLEMENTED, 'no tunnels'
            )
            return
        head = message.encode_head_without_upgrade(
            self._parser.get_method(),
            self._partial.target,
            self._parser.get_http_version(),
            self._partial.headers,
        )
        self._new_parser()
        self._parse(head + rest)

    def _check_head(self) -> None:
        if self._partial.header_bytes > self._get_limits().max_header_bytes:
            self._refuse_head()

    def _refuse_head(self) -> None:
        self._listener.on_invalid(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'headers too large',
        )

    def _new_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
