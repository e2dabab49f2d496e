"""Record what a server says of itself in the head of an answer."""

from collections.abc import Hashable

from oatcrank import logs
from oatcrank.forwarding import (
    request_dependencies,
    request_metrics,
    wire_protocol,
)
from oatcrank.routing import server, server_table


def record(
    dependencies: request_dependencies.RequestDependencies,
    answering: server.Server,
    answer: wire_protocol.AnswerHead,
    *,
    send: Hashable,
    sent_s: float,
) -> None:
    """Record that a server leaves, its pause, its load and its limit.

    send is the key of the send that was answered, sent_s when it began.
    """
    registration = answering.registration
    if answer.leaving:
        dependencies.servers.record_leaving(
            registration.registered_process, server_table.LeavingSource.answer
        )
    _record_pause(dependencies, answering, answer, send)
    if answer.load is not None:
        answering.record_load(
            answer.load.running,
            answer.load.waiting,
            dependencies.now(),
        )
    if answer.tells_limit:
        dependencies.server_limiter.record_answer(
            registration, answer.limit_per_s, sent_s
        )


def _record_pause(
    dependencies: request_dependencies.RequestDependencies,
    answering: server.Server,
    answer: wire_protocol.AnswerHead,
    send: Hashable,
) -> None:
    if answer.pause is not None:
        dependencies.servers.pause(answering.registration, answer.pause)
        request_metrics.TURNED_AWAY.labels(answering.registration.service).inc()
        return
    if answer.not_executed or answer.misdirected:
        return
    if answering.pause_state.record_answer(send):
        logs.event('server_pause_ended', server=answering.server_id)
