"""Encode and decode the HTTP headers of the users' platform."""

import math
import re

from oatcrank import ids, logs
from oatcrank.forwarding import caller_request, event_ids, wire_protocol
from oatcrank.platform import (
    brittle_statement,
    credentials,
    header_numbers,
    last_event,
    relay_headers,
    server_headers,
)
from oatcrank.routing import server_process
from oatcrank.transport import message

REQUEST_ID = b'x-request-id'
DEADLINE_MS = b'x-deadline-ms'
MODEL = b'x-model'
PREFIX = b'x-prompt-prefix'
TOKENS = b'x-token-usage'
RESUMED_ID = b'resumes'
EXPECTED_INSTANCE = b'x-expected-instance'
PRIORITY = b'x-request-priority'
SIGNATURE = b'x-response-signature'
LOAD = b'x-server-load'
NOT_EXECUTED = b'x-not-executed'
LIMIT = b'server-limit'
INSTANCE = b'x-instance-id'
MISDIRECTED = 421
LOWEST_PRIORITY = 9
MAX_NUMBER = 10**9
PART_ID = re.compile('[0-9a-f]{1,64}')

# Headers that only this system may send to a server; those that a caller sends
# are removed.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE_MS,
        relay_headers.RELAYED,
        last_event.LAST_EVENT_ID,
        EXPECTED_INSTANCE,
        PRIORITY,
        b'x-expected-version',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)


class PlatformProtocol(wire_protocol.WireProtocol):
    """Wire protocol of the platform."""

    def decode_request(
        self, raw: message.Request
    ) -> caller_request.CallerRequest:
        """Decode a caller's request or raise MalformedRequest."""
        request_id = _text(raw, REQUEST_ID)
        host = _text(raw, b'host')
        if not request_id or not host:
            raise wire_protocol.MalformedRequest(
                'the request has no id or no host'
            )
        model, _, adapter = _text(raw, MODEL).partition('/')
        deadline_ms = _number(_text(raw, DEADLINE_MS))
        prefix = _shared_part(_text(raw, PREFIX))
        last_event_text = last_event.named_text(raw.headers)
        last_event_id = event_ids.decode(last_event_text)
        headers = [
            pair
            for pair in message.end_to_end(raw.headers)
            if pair[0].lower() not in RESERVED_HEADERS
        ]
        return caller_request.CallerRequest(
            request_id=ids.RequestId(request_id),
            method=raw.method,
            target=raw.target,
            host=host.rpartition(':')[0] if ':' in host else host,
            path=raw.path.decode('latin-1'),
            headers=headers,
            body=raw.body,
            began_s=raw.began_s,
            timeout_s=None if deadline_ms is None else deadline_ms / 1000,
            caller=raw.peer,
            model=ids.ModelName(model) if model else None,
            adapter=ids.AdapterName(adapter) if adapter else None,
            prefix=prefix,
            shared_parts=_part_ids(prefix),
            tokens=_stated_tokens(_text(raw, TOKENS)),
            relayed=bool(_text(raw, relay_headers.RELAYED)),
            earlier_sends=relay_headers.decode_sends(
                raw.header(relay_headers.RELAYED)
            ),
            key=credentials.decode_key(raw.headers),
            prompt_tokens=_own_tokens(
                _text(raw, PREFIX),
                _text(raw, TOKENS),
            ),
            last_event_id=last_event_id,
            names_unreadable_event=(
                bool(last_event_text) and last_event_id is None
            ),
            resumed_id=ids.RequestId(_text(raw, RESUMED_ID)) or None,
        )

    def remove_credentials(self, headers: message.Headers) -> message.Headers:
        """Return headers without keys and without names of organisations."""
        return credentials.remove(headers)

    def encode_relayed(
        self, raw: message.Request, left_s: float, sends: int
    ) -> bytes:
        """Encode a request for another instance."""
        return relay_headers.encode(raw, left_s, sends)

    def unreached(self, sends: int) -> message.Headers:
        """Return the headers of a refusal by an instance without servers."""
        return [(relay_headers.UNREACHED, relay_headers.encode_sends(sends))]

    def is_unreached(self, head: message.ResponseHead) -> bool:
        """Return whether an instance has refused since it has no servers."""
        return head.header(relay_headers.UNREACHED) is not None

    def unreached_sends(self, head: message.ResponseHead) -> int:
        """Return how many sends had reached servers before such a refusal."""
        return relay_headers.decode_sends(head.header(relay_headers.UNREACHED))

    def passed_leaving(
        self, leaving: server_process.RegisteredProcess
    ) -> message.Headers:
        """Return the headers that tell an instance which server leaves."""
        return relay_headers.passed_leaving(leaving)

    def take_leaving(
        self, head: message.ResponseHead
    ) -> server_process.RegisteredProcess | None:
        """Remove these headers from an answer; return what they tell."""
        return relay_headers.take_leaving(head)

    def challenge(self) -> message.Headers:
        """Return the headers that tell a caller how to present a key."""
        return [(b'WWW-Authenticate', credentials.KEY_SCHEME)]

    def encode_request(
        self,
        request: caller_request.CallerRequest,
        parameters: wire_protocol.SendParameters,
    ) -> bytes:
        """Encode the request for a server."""
        left_ms = max(1, int(parameters.left_s * 1000))
        lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
        lines.extend(b'%s: %s' % pair for pair in request.headers)
        lines.append(b'X-Deadline-Ms: %d' % left_ms)
        lines.append(
            b'X-Expected-Instance: %s'
            % parameters.registration.server_id.encode(),
        )
        if request.model is not None:
            priority = min(LOWEST_PRIORITY, max(0, parameters.priority))
            lines.append(b'X-Request-Priority: %d' % priority)
        if request.organisation is not None:
            lines.append(b'X-Tenant: %s' % request.organisation.encode())
        if parameters.last_event_id is not None:
            lines.append(b'Last-Event-Id: %d' % parameters.last_event_id)
        if request.body or request.method not in {b'GET', b'HEAD'}:
            lines.append(b'Content-Length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', b'')) + request.body

    def decode_answer_head(
        self, head: message.ResponseHead
    ) -> wire_protocol.AnswerHead:
        """Decode the head of an answer."""
        header_by_name = {name.lower(): text for name, text in head.headers}
        request_id_text = header_by_name.get(REQUEST_ID)
        return wire_protocol.AnswerHead(
            request_id=(
                None
                if request_id_text is None
                else ids.RequestId(request_id_text.decode('latin-1'))
            ),
            signed=SIGNATURE in header_by_name,
            not_executed=NOT_EXECUTED in header_by_name,
            misdirected=head.status == MISDIRECTED,
            content_encoded=b'content-encoding' in header_by_name,
            load=_load(header_by_name.get(LOAD)),
            idle_timeout_s=_idle_timeout_s(header_by_name.get(b'keep-alive')),
            limit_per_s=limit_per_s(head.headers),
            leaving=server_headers.is_leaving(head.status, head.headers),
            pause=server_headers.requested_pause(head.status, head.headers),
            max_rejections_per_s=brittle_statement.max_rejections_per_s(
                header_by_name.get(brittle_statement.BRITTLE)
            ),
        )


def limit_per_s(headers: message.Headers) -> float | None:
    """Decode the requests a second that a server takes; None without limit.

    A limit that can't be decoded is logged and counts as none.
    """
    text = next((text for name, text in headers if name.lower() == LIMIT), None)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError as error:
        logs.event('server_limit_malformed', error=error)
        return None
    if not (math.isfinite(limit) and limit >= 0):
        logs.event('server_limit_malformed', error=f'{limit} is no rate')
        return None
    return limit


def _text(raw: message.Request, name: bytes) -> str:
    header = raw.header(name)
    return '' if header is None else header.decode('latin-1').strip()


def _stated_tokens(usage: str) -> int | None:
    """Return the sum of `PROMPT,OUTPUT`, or None if it is malformed."""
    numbers = [_number(part.strip()) for part in usage.split(',')]
    if len(numbers) != 2 or numbers[0] is None or numbers[1] is None:
        return None
    return numbers[0] + numbers[1]


def _number(text: str) -> int | None:
    return header_numbers.decode(text, MAX_NUMBER)


def _shared_part(prefix: str) -> str:
    """Return the parts that other requests may share: all but the last."""
    return prefix.rpartition(',')[0]


def _part_ids(prefix: str) -> tuple[ids.PromptPart, ...]:
    """Return the ids of `ID:TOKENS,...` in lower case.

    Ids that are not hexadecimal, or too long, are left out.
    """
    part_ids = (
        part.partition(':')[0].strip().lower() for part in prefix.split(',')
    )
    return tuple(
        ids.PromptPart(part_id)
        for part_id in part_ids
        if PART_ID.fullmatch(part_id)
    )


def _own_tokens(prefix: str, usage: str) -> int:
    """Return the token count of the last part of `ID:TOKENS,...`.

    Without parts, return that of the whole prompt from `PROMPT,OUTPUT`.
    """
    last = prefix.rpartition(',')[2].partition(':')[2]
    return _number(last) or _number(usage.partition(',')[0]) or 0


def _load(header: bytes | None) -> wire_protocol.ServerLoad | None:
    """Decode `running,waiting,slots`."""
    if header is None:
        return None
    numbers = [
        _number(part.strip()) for part in header.decode('latin-1').split(',')
    ]
    if len(numbers) < 2 or numbers[0] is None or numbers[1] is None:
        return None
    return wire_protocol.ServerLoad(numbers[0], numbers[1])


def _idle_timeout_s(header: bytes | None) -> float | None:
    """Decode `timeout=SECONDS` among the parameters of Keep-Alive."""
    if header is None:
        return None
    for part in header.decode('latin-1').split(','):
        name, _, text = part.strip().partition('=')
        if name.lower() == 'timeout':
            seconds = _number(text.strip())
            return None if seconds is None else float(seconds)
    return None
