"""Decide the next step after an attempt."""

import enum


class Progress(enum.Enum):
    """How far an attempt got at a server."""

    unsent = 'nothing was written to the connection'
    written = 'the request may have run'
    declined = 'the server reported that it did not run the request'
    answered = 'the server has answered'


class Step(enum.Enum):
    """Next step for a request."""

    deliver = 'forward the answer'
    send_again = 'another send is allowed'
    fail = 'answer that the request may have run'
    abort = 'close the connection before the end of the answer'


class ExecutionStatus(enum.Enum):
    """Whether the request ran, as far as this instance knows."""

    not_run = 'has not run and will not run'
    unknown = 'may have run'


def step_after(
    progress: Progress,
    *,
    repeatable: bool,
    delivered: bool,
    resumable: bool,
) -> Step:
    """Return the next step after an attempt.

    delivered: part of an answer was already sent to the caller.
    resumable: another run can continue from that point.
    """
    if progress is Progress.answered:
        return Step.deliver
    if delivered and not resumable:
        return Step.abort
    if progress is Progress.written and not repeatable:
        return Step.fail
    return Step.send_again


def may_have_run(progress: Progress) -> bool:
    """Return whether the server may have run the request."""
    return progress in {Progress.written, Progress.answered}


class AttemptHistory:
    """Combined result of all attempts of one request."""

    def __init__(self) -> None:
        """Create the history of a request without attempts."""
        self._may_have_run = False

    def record(self, progress: Progress) -> None:
        """Record how far an attempt got."""
        if may_have_run(progress):
            self._may_have_run = True

    @property
    def execution_status(self) -> ExecutionStatus:
        """Return whether any attempt may have run the request."""
        if self._may_have_run:
            return ExecutionStatus.unknown
        return ExecutionStatus.not_run
