"""Define the messages about crashes of servers."""

import msgspec

from oatcrank import ids
from oatcrank.routing import crash


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the requests that were running on a server that crashed.

    fingerprints stay empty; older instances require the field.  They take all
    prompts for unanswered ones, so answered_prompts stand apart.  They neither
    send nor read often_answered.
    """

    fingerprints: tuple[int, ...] = ()
    server_id: ids.ServerId
    started_ms: int
    requests: tuple[crash.RequestKey, ...] = ()
    prompts: tuple[crash.Prompt, ...] = ()
    answered_prompts: tuple[crash.Prompt, ...] = ()
    often_answered: crash.OftenAnswered = crash.OftenAnswered()


class Answered(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a server has answered what was suspected of crashes.

    parts are those of its prompt, fingerprints those of the request.  age_s is
    the time between the answer and the send of this message.
    """

    parts: tuple[ids.PromptPart, ...]
    fingerprints: tuple[ids.RequestFingerprint, ...] = ()
    age_s: float = 0
