"""Find the parts of prompts that crash each server that answers them.

Load pattern: requests that share one part, no two of them alike, crash one
server after the other, while sound requests share their other parts and wait
at the same servers.

A crash is attributed to a part that the unanswered prompts on the server had
in common in several crashes, if no server has answered a prompt with it since
and no single request was running at nearly all of these crashes: that request
would be refused by itself.

A part that servers have answered before crashes none of them, unless something
has changed.  Crashes at one moment, as in a loss of power, are no sign of that:
the prompts that they interrupt always have some part in common.
"""

import collections
import math
from collections.abc import Collection, Iterable

import msgspec

from oatcrank import ids
from oatcrank.routing import (
    crash,
    crash_causes,
    server_process,
)

CRASHES_TO_REFUSE = 3
# For a part that servers have answered often.
CRASHES_TO_REFUSE_OFTEN_ANSWERED = 6
# So many of these crashes must have happened without any given request, which
# would otherwise be the cause itself.
CRASHES_WITHOUT_A_REQUEST = 2
# Crashes count together for this long.
CRASH_WINDOW_S = 600.0
# Instances report the prompts of a crash within this time.
REPORTS_DUE_S = 0.25
MAX_CRASHES = 64
MAX_PROMPTS_PER_CRASH = 256


class _ReportedCrash(msgspec.Struct):
    """Prompts of one crash, as reported by all instances."""

    first_report_s: float
    prompts: set[crash.Prompt]

    def suspects(self) -> Collection[crash.Prompt]:
        """Return the prompts that may have caused the crash.

        A server crashes as it begins an answer, so prompts whose answer had
        begun go before those that still waited.
        """
        begun = [prompt for prompt in self.prompts if prompt.begun]
        return begun or self.prompts

    def suspected_parts(self) -> set[ids.PromptPart]:
        """Return the parts of the prompts that may have caused the crash."""
        return set().union(*(prompt.parts for prompt in self.suspects()))


class _Evidence(msgspec.Struct):
    """Crashes at which prompts with one part were suspects."""

    crash_times_s: list[float] = msgspec.field(default_factory=list)
    # The last place of the part in a prompt.
    depth: int = 0
    crashes_by_fingerprint: collections.Counter[int] = msgspec.field(
        default_factory=collections.Counter
    )

    def add(self, part: ids.PromptPart, reported: _ReportedCrash) -> None:
        """Add a crash."""
        suspects = [
            prompt for prompt in reported.suspects() if part in prompt.parts
        ]
        self.crash_times_s.append(reported.first_report_s)
        self.crashes_by_fingerprint.update(
            {prompt.fingerprint for prompt in suspects}
        )
        self.depth = max(
            self.depth, *(prompt.parts.index(part) for prompt in suspects)
        )

    @property
    def crashes(self) -> int:
        """Return the number of the crashes."""
        return len(self.crash_times_s)

    def suffices(self, crashes_to_refuse: int) -> bool:
        """Return whether the crashes are attributed to the part."""
        most_of_one = max(self.crashes_by_fingerprint.values())
        return (
            self.crashes >= crashes_to_refuse
            and self.crashes - most_of_one >= CRASHES_WITHOUT_A_REQUEST
        )

    @property
    def may_share_cause(self) -> bool:
        """Return whether the servers may have crashed of another cause."""
        return crash_causes.may_share_cause(self.crash_times_s)


class CrashingParts(crash_causes.CrashCauses[ids.PromptPart]):
    """Refuse prompts with parts that have crashed several servers."""

    def __init__(self) -> None:
        """Start without crashes."""
        super().__init__()
        self._crash_by_id: collections.OrderedDict[
            server_process.ServerProcess, _ReportedCrash
        ] = collections.OrderedDict()
        # All parts of the prompts of all crashes.
        self._suspects: set[ids.PromptPart] = set()
        self._evaluate_at_s = math.inf

    def record_crash(self, report: crash.Crash, now_s: float) -> None:
        """Add the unanswered prompts of a crash, from any instance."""
        self._answers.record_often_answered(report.often_answered.parts)
        known = self._crash_by_id.get(report.crash_id)
        if known is None:
            known = _ReportedCrash(first_report_s=now_s, prompts=set())
            self._crash_by_id[report.crash_id] = known
        for prompt in report.suspects:
            if prompt.parts and len(known.prompts) < MAX_PROMPTS_PER_CRASH:
                known.prompts.add(prompt)
                self._suspects.update(prompt.parts)
        while len(self._crash_by_id) > MAX_CRASHES:
            self._crash_by_id.popitem(last=False)
        self._evaluate_at_s = min(
            self._evaluate_at_s, known.first_report_s + REPORTS_DUE_S
        )

    def record_answer(
        self,
        parts: Collection[ids.PromptPart],
        now_s: float,
    ) -> tuple[ids.PromptPart, ...]:
        """Clear the parts of a prompt that has not crashed its server.

        Return those that were suspected of several crashes or refused; other
        instances should clear them as well.
        """
        suspects = {
            part
            for part in parts
            if part in self._suspects or self._refusals.is_recorded(part)
        }
        suspicious = tuple(filter(self._is_suspicious, suspects))
        for part in parts:
            self._answers.record(part, now_s)
        self._clear_refusals(suspects)
        return suspicious

    def often_answered(
        self, prompts: Iterable[crash.Prompt]
    ) -> tuple[ids.PromptPart, ...]:
        """Return the parts of prompts that are answered often."""
        parts = {part for prompt in prompts for part in prompt.parts}
        return tuple(filter(self._answers.is_often_answered, parts))

    def clear(self, names: Iterable[ids.PromptPart], answered_s: float) -> None:
        """Discard the crashes before an answer, and what rests on them.

        The crashes after it are evaluated again.
        """
        cleared = tuple(names)
        for part in cleared:
            self._answers.record(part, answered_s)
        self._clear_refusals(cleared)

    def refused_part(
        self,
        parts: Iterable[ids.PromptPart],
    ) -> ids.PromptPart | None:
        """Return a part for which a prompt is refused, if any."""
        return self._refusals.refused_of(parts)

    def trials_of(
        self, parts: Iterable[ids.PromptPart]
    ) -> tuple[ids.PromptPart, ...]:
        """Return the parts that are refused, but let through once."""
        return self._refusals.trials_of(parts)

    def update(self, now_s: float) -> tuple[ids.PromptPart, ...]:
        """Refuse the parts that explain the crashes; return the new ones."""
        if now_s < self._evaluate_at_s:
            return ()
        self._evaluate_at_s = math.inf
        self._drop_expired(now_s)
        new_parts: list[ids.PromptPart] = []
        suspects = self._most_suspected(now_s)
        while suspects:
            self._refusals.refuse(suspects)
            new_parts.extend(suspects)
            suspects = self._most_suspected(now_s)
        return tuple(new_parts)

    def _most_suspected(self, now_s: float) -> list[ids.PromptPart]:
        """Return the parts that best explain enough unexplained crashes.

        Where several parts explain them, it is the one further back in the
        prompts: fewer prompts share it.  If the crashes don't tell parts apart,
        all of them are returned, so that all instances decide alike.
        """
        rank_by_part = {
            part: (evidence.depth, evidence.crashes)
            for part, evidence in self._evidence_by_part(now_s).items()
            if self._is_sufficient(part, evidence)
        }
        highest_rank = max(rank_by_part.values(), default=None)
        return sorted(
            part for part, rank in rank_by_part.items() if rank == highest_rank
        )

    def _is_sufficient(self, part: ids.PromptPart, evidence: _Evidence) -> bool:
        if self._answers.is_answered(part) and evidence.may_share_cause:
            return False
        crashes_to_refuse = (
            CRASHES_TO_REFUSE_OFTEN_ANSWERED
            if self._answers.is_often_answered(part)
            else CRASHES_TO_REFUSE
        )
        return evidence.suffices(crashes_to_refuse)

    def _evidence_by_part(
        self, now_s: float
    ) -> dict[ids.PromptPart, _Evidence]:
        evidence_by_part: dict[ids.PromptPart, _Evidence] = {}
        for unexplained in self._unexplained(now_s):
            for part in unexplained.suspected_parts():
                if self._is_unanswered_since(part, unexplained):
                    evidence = evidence_by_part.setdefault(part, _Evidence())
                    evidence.add(part, unexplained)
        return evidence_by_part

    def _unexplained(self, now_s: float) -> list[_ReportedCrash]:
        """Return the crashes that no refused part explains.

        A crash of which reports may still arrive counts later.
        """
        unexplained = []
        for reported in self._crash_by_id.values():
            due_s = reported.first_report_s + REPORTS_DUE_S
            if now_s < due_s:
                self._evaluate_at_s = min(self._evaluate_at_s, due_s)
            elif self._refusals.names.isdisjoint(reported.suspected_parts()):
                unexplained.append(reported)
        return unexplained

    def _clear_refusals(self, parts: Collection[ids.PromptPart]) -> None:
        for part in parts:
            self._refusals.clear(part)
            self._evaluate_at_s = -math.inf

    def _is_suspicious(self, part: ids.PromptPart) -> bool:
        if self._refusals.is_recorded(part):
            return True
        crashes = sum(
            part in reported.suspected_parts()
            and self._is_unanswered_since(part, reported)
            for reported in self._crash_by_id.values()
        )
        return crashes >= CRASHES_TO_REFUSE - 1

    def _is_unanswered_since(
        self, part: ids.PromptPart, reported: _ReportedCrash
    ) -> bool:
        return self._answers.cleared_s(part) < reported.first_report_s

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - CRASH_WINDOW_S
        for crash_id, reported in tuple(self._crash_by_id.items()):
            if reported.first_report_s < oldest_s:
                del self._crash_by_id[crash_id]
        self._suspects.clear()
        for remaining in self._crash_by_id.values():
            for prompt in remaining.prompts:
                self._suspects.update(prompt.parts)
