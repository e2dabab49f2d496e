"""Decide what may follow an attempt, by how far it got."""

import enum


class Progress(enum.Enum):
    """Say how far one attempt got at a server."""

    unsent = 'nothing was written'
    written = 'it may have run'
    declined = 'the server says that it did not run'
    answered = 'the server has answered'


class Step(enum.Enum):
    """Say what may be done next."""

    deliver = 'hand the answer on'
    send_again = 'another send is allowed'
    fail = 'say that it may have run'
    break_off = 'end the answer visibly incomplete'


class Promise(enum.Enum):
    """Say what a final answer of one's own may tell the caller."""

    not_run = 'not run and never will be'
    unknown = 'may have run'


def step_after(
    progress: Progress,
    *,
    repeatable: bool,
    delivered: bool,
    resumable: bool,
) -> Step:
    """Return what may follow an attempt.

    delivered tells whether a part of an answer has reached the caller, and
    resumable whether another run can go on from there.
    """
    if progress is Progress.answered:
        return Step.deliver
    if delivered and not resumable:
        return Step.break_off
    if progress is Progress.written and not repeatable:
        return Step.fail
    return Step.send_again


def may_have_run(progress: Progress) -> bool:
    """Tell whether the server may have run what was sent."""
    return progress in {Progress.written, Progress.answered}


class History:
    """Keep what all attempts of one request amount to."""

    def __init__(self) -> None:
        """Start before the first attempt."""
        self._may_have_run = False

    def note(self, progress: Progress) -> None:
        """Take the end of one attempt."""
        if may_have_run(progress):
            self._may_have_run = True

    @property
    def promise(self) -> Promise:
        """Return what may be said truly of the request."""
        if self._may_have_run:
            return Promise.unknown
        return Promise.not_run
