"""Define how the stand-in for a platform worker answers."""

import enum


class AnswerMode(enum.Enum):
    """How a worker answers a request."""

    whole = 'a whole answer'
    stream = 'a stream of events'
    as_accepted = 'a stream if the caller accepts one, else a whole answer'
    failure = 'an error of the worker'
    full = 'not run: full'
    unavailable = '503 without a statement that the request was not run'
    overloaded = '429 without a statement that the request was not run'
    timed_out = '408 without a statement that the request was not run'
    late_decline_first = 'a late 503 without an id, then the answer'
    repeated_decline_first = 'its own earlier refusal again, then the answer'
    wrong_address = 'not run: another worker has the address'
    truncated = 'closes within the answer'
    truncated_stream = 'closes within the stream'
    stream_without_length = 'a stream that ends with the connection'
    truncated_stream_without_length = 'the same, closed within an event'
    empty_stream_without_length = 'the same, closed before the first event'
    ended_within_event = 'the last chunk comes within an event'
    duplicated = 'the same answer twice'
    late_answer_first = 'a late answer to an earlier request, then the answer'
    unsigned = 'without the signature'
    garbage = 'no HTTP at all'
    without_length = 'without a length, ends with the connection'
    without_length_then_end = 'without a length, and ends with the answer'
    reset = 'reads the request and resets'
    no_answer = 'reads the request and does not answer'
    closing = 'a whole answer, then it closes'


WITHOUT_LENGTH_MODES = frozenset(
    (
        AnswerMode.stream_without_length,
        AnswerMode.truncated_stream_without_length,
        AnswerMode.empty_stream_without_length,
    )
)
TRUNCATED_STREAM_MODES = frozenset(
    (
        AnswerMode.truncated_stream,
        AnswerMode.truncated_stream_without_length,
        AnswerMode.ended_within_event,
    )
)
STREAM_MODES = (
    WITHOUT_LENGTH_MODES | TRUNCATED_STREAM_MODES | {AnswerMode.stream}
)
PLAIN_WITHOUT_LENGTH_MODES = frozenset(
    (AnswerMode.without_length, AnswerMode.without_length_then_end)
)
NOT_RUN_MODES = frozenset((AnswerMode.full, AnswerMode.wrong_address))
