"""Test the next step after an attempt, for every way it can end."""

import pytest

from oatcrank.forwarding import attempt_state

PROGRESS = attempt_state.Progress
STEP = attempt_state.Step
STATUS = attempt_state.ExecutionStatus


@pytest.mark.parametrize(
    ('progress', 'repeatable', 'delivered', 'resumable', 'expected'),
    [
        # Nothing was written: another send is always allowed.
        (PROGRESS.unsent, False, False, False, STEP.send_again),
        (PROGRESS.unsent, True, False, False, STEP.send_again),
        (PROGRESS.unsent, True, False, True, STEP.send_again),
        (PROGRESS.unsent, True, True, True, STEP.send_again),
        # The server reported that it did not run the request.
        (PROGRESS.declined, False, False, False, STEP.send_again),
        (PROGRESS.declined, True, False, False, STEP.send_again),
        (PROGRESS.declined, True, True, True, STEP.send_again),
        # The request may have run: only a repeatable one is sent again.
        (PROGRESS.written, False, False, False, STEP.fail),
        (PROGRESS.written, True, False, False, STEP.send_again),
        (PROGRESS.written, True, False, True, STEP.send_again),
        # Part of the answer was delivered: only a stream can resume.
        (PROGRESS.written, False, True, False, STEP.abort),
        (PROGRESS.written, True, True, False, STEP.abort),
        (PROGRESS.written, True, True, True, STEP.send_again),
        # The server has answered.
        (PROGRESS.answered, False, False, False, STEP.deliver),
        (PROGRESS.answered, True, True, True, STEP.deliver),
    ],
)
def test_step_after(progress, repeatable, delivered, resumable, expected):
    assert (
        attempt_state.step_after(
            progress,
            repeatable=repeatable,
            delivered=delivered,
            resumable=resumable,
        )
        is expected
    )


@pytest.mark.parametrize(
    ('attempts', 'expected'),
    [
        ((), STATUS.not_run),
        ((PROGRESS.unsent,), STATUS.not_run),
        ((PROGRESS.declined, PROGRESS.unsent), STATUS.not_run),
        ((PROGRESS.written,), STATUS.unknown),
        ((PROGRESS.written, PROGRESS.declined), STATUS.unknown),
        ((PROGRESS.declined, PROGRESS.answered), STATUS.unknown),
    ],
)
def test_execution_status_after_attempts(attempts, expected):
    history = attempt_state.AttemptHistory()
    for progress in attempts:
        history.record(progress)
    assert history.execution_status is expected
