"""Test what may follow an attempt, for every way that one can end."""

import pytest

from oatcrank.forwarding import attempt_state

PROGRESS = attempt_state.Progress
STEP = attempt_state.Step
PROMISE = attempt_state.Promise


@pytest.mark.parametrize(
    ('progress', 'repeatable', 'delivered', 'resumable', 'expected'),
    [
        # Nothing was written: always free to go elsewhere.
        (PROGRESS.unsent, False, False, False, STEP.send_again),
        (PROGRESS.unsent, True, False, False, STEP.send_again),
        (PROGRESS.unsent, True, False, True, STEP.send_again),
        (PROGRESS.unsent, True, True, True, STEP.send_again),
        # The server says that it did not run it.
        (PROGRESS.declined, False, False, False, STEP.send_again),
        (PROGRESS.declined, True, False, False, STEP.send_again),
        (PROGRESS.declined, True, True, True, STEP.send_again),
        # It may have run: only what is repeatable is sent again.
        (PROGRESS.written, False, False, False, STEP.fail),
        (PROGRESS.written, True, False, False, STEP.send_again),
        (PROGRESS.written, True, False, True, STEP.send_again),
        # A part has reached the caller: only a stream can go on.
        (PROGRESS.written, False, True, False, STEP.break_off),
        (PROGRESS.written, True, True, False, STEP.break_off),
        (PROGRESS.written, True, True, True, STEP.send_again),
        # There is an answer.
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
        ((), PROMISE.not_run),
        ((PROGRESS.unsent,), PROMISE.not_run),
        ((PROGRESS.declined, PROGRESS.unsent), PROMISE.not_run),
        ((PROGRESS.written,), PROMISE.unknown),
        ((PROGRESS.written, PROGRESS.declined), PROMISE.unknown),
        ((PROGRESS.declined, PROGRESS.answered), PROMISE.unknown),
    ],
)
def test_a_refusal_promises_only_what_is_true(attempts, expected):
    history = attempt_state.History()
    for progress in attempts:
        history.note(progress)
    assert history.promise is expected
