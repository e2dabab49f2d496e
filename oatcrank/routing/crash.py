"""Describe the crash of a server and the requests that it interrupted."""

from collections.abc import Iterable

import msgspec

from oatcrank import ids
from oatcrank.routing import server_process

MAX_LOGGED_FINGERPRINTS = 16


class RequestKey(msgspec.Struct, frozen=True):
    """Fingerprints by which a request is recognised when it comes again.

    They cover what a server sees of it, so neither its id nor its caller.
    whole covers the query and the prompt, too; path only the path and the body.
    """

    whole: ids.RequestFingerprint
    path: ids.RequestFingerprint

    @property
    def fingerprints(
        self,
    ) -> tuple[ids.RequestFingerprint, ids.RequestFingerprint]:
        """Return both fingerprints."""
        return (self.whole, self.path)


class Prompt(msgspec.Struct, frozen=True):
    """A prompt whose answer may have crashed a server.

    parts are those that other prompts may share, from the first one on.  begun
    means that the server had sent the head of the answer.  fingerprint is that
    of the request, the same when its caller sends it again.
    """

    parts: tuple[ids.PromptPart, ...]
    begun: bool
    fingerprint: int


class OftenAnswered(msgspec.Struct, frozen=True):
    """What servers had answered often, of what a crash interrupted."""

    fingerprints: tuple[ids.RequestFingerprint, ...] = ()
    parts: tuple[ids.PromptPart, ...] = ()


class Crash(msgspec.Struct, frozen=True, kw_only=True):
    """What one instance knows of a crash.

    prompts had not been answered with any event; answered_prompts had, but no
    more than a server may send before it crashes of a prompt.
    """

    crash_id: server_process.ServerProcess
    requests: tuple[RequestKey, ...]
    prompts: tuple[Prompt, ...] = ()
    answered_prompts: tuple[Prompt, ...] = ()
    often_answered: OftenAnswered = OftenAnswered()

    @property
    def suspects(self) -> tuple[Prompt, ...]:
        """Return all prompts that may be the cause."""
        return self.prompts + self.answered_prompts


def fingerprints_text(fingerprints: Iterable[ids.RequestFingerprint]) -> str:
    """Return a bounded number of fingerprints for a log line."""
    return ','.join(sorted(fingerprints)[:MAX_LOGGED_FINGERPRINTS])
