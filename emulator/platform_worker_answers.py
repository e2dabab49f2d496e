"""Encode the answers of the stand-in for a platform worker."""

from collections.abc import Callable
from http import HTTPStatus

from emulator import platform_answer_mode

Headers = dict[str, str]
BuildAnswer = Callable[[Headers], bytes]

_Mode = platform_answer_mode.AnswerMode


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} Told', f'Content-Length: {len(body)}']
    lines.extend(f'{key}: {text}' for key, text in headers.items())
    return '\r\n'.join((*lines, '', '')).encode() + body


def without_length(headers: Headers, body: bytes) -> bytes:
    """Return an answer that ends with the connection."""
    lines = ['HTTP/1.1 200 OK', 'Connection: close']
    lines.extend(f'{key}: {text}' for key, text in headers.items())
    return '\r\n'.join((*lines, '', '')).encode() + body


def whole(headers: Headers) -> bytes:
    """Return a whole answer."""
    return encode_answer(HTTPStatus.OK, headers, b'whole')


def failure(headers: Headers) -> bytes:
    """Return an error of the worker."""
    return encode_answer(HTTPStatus.INTERNAL_SERVER_ERROR, headers, b'failed')


def full(headers: Headers) -> bytes:
    """Return the answer of a worker that is full."""
    return encode_answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        {**headers, 'X-Not-Executed': '1'},
        b'',
    )


def unavailable(headers: Headers) -> bytes:
    """Return a 503 that may belong to a request that ran."""
    return encode_answer(HTTPStatus.SERVICE_UNAVAILABLE, headers, b'failed')


def overloaded(headers: Headers) -> bytes:
    """Return a 429 that may belong to a request that ran."""
    return encode_answer(HTTPStatus.TOO_MANY_REQUESTS, headers, b'failed')


def timed_out(headers: Headers) -> bytes:
    """Return a 408 that may belong to a request that ran."""
    return encode_answer(HTTPStatus.REQUEST_TIMEOUT, headers, b'failed')


def late_decline_first(headers: Headers) -> bytes:
    """Return a late 503 without an id, then an answer."""
    late = encode_answer(
        HTTPStatus.SERVICE_UNAVAILABLE, {'X-Not-Executed': '1'}, b''
    )
    return late + whole(headers)


def repeated_decline_first(headers: Headers) -> bytes:
    """Return a refusal again, then an answer."""
    return full(headers) + whole(headers)


def wrong_address(headers: Headers) -> bytes:
    """Return the answer of another worker at this address."""
    return encode_answer(
        HTTPStatus.MISDIRECTED_REQUEST, {'X-Instance-Id': 'another'}, b''
    )


def duplicated(headers: Headers) -> bytes:
    """Return an answer twice."""
    return whole(headers) + whole(headers)


def late_answer_first(headers: Headers) -> bytes:
    """Return the answer to another request, then an answer."""
    late = {**headers, 'X-Request-Id': 'an-earlier-one'}
    return encode_answer(HTTPStatus.OK, late, b'late') + whole(headers)


def unsigned(headers: Headers) -> bytes:
    """Return an answer without a signature."""
    unsigned_headers = {
        key: text for key, text in headers.items() if 'Sig' not in key
    }
    return encode_answer(HTTPStatus.OK, unsigned_headers, b'whole')


def garbage(headers: Headers) -> bytes:
    """Return bytes that are no answer."""
    return b'\x00\x01 this is no answer\r\n\r\n'


BUILDER_BY_MODE: dict[_Mode, BuildAnswer] = {
    _Mode.whole: whole,
    _Mode.closing: whole,
    _Mode.failure: failure,
    _Mode.full: full,
    _Mode.unavailable: unavailable,
    _Mode.overloaded: overloaded,
    _Mode.timed_out: timed_out,
    _Mode.late_decline_first: late_decline_first,
    _Mode.repeated_decline_first: repeated_decline_first,
    _Mode.wrong_address: wrong_address,
    _Mode.duplicated: duplicated,
    _Mode.late_answer_first: late_answer_first,
    _Mode.unsigned: unsigned,
    _Mode.garbage: garbage,
}
