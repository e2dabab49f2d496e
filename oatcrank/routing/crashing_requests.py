"""Find the requests that crash each server that runs them.

Load pattern: a request comes again and again, at any instance and from any
caller, with the same path and body, while sound requests share its servers.

A request is refused after three crashes of servers that were running it.  If
the crashes have only the path and body of requests in common, all requests
with these are refused, whatever their query.  An answer discards the crashes
before it.
"""

import collections
from collections.abc import Collection, Iterable

import msgspec

from oatcrank import ids
from oatcrank.routing import (
    crash,
    crash_causes,
    server_process,
)

CRASHES_TO_REFUSE = 3
# Crashes count together for this long.
CRASH_WINDOW_S = 600.0
MAX_CRASHES = 64
MAX_REQUESTS_PER_CRASH = 256


class _ReportedCrash(msgspec.Struct):
    """Requests that ran on one server when it crashed, by all reports."""

    first_report_s: float
    requests: set[crash.RequestKey]


class CrashingRequests(crash_causes.CrashCauses[ids.RequestFingerprint]):
    """Refuse requests that have crashed several servers.

    Names are the fingerprints of whole requests, and of paths with bodies.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        super().__init__()
        self._crash_by_id: collections.OrderedDict[
            server_process.ServerProcess, _ReportedCrash
        ] = collections.OrderedDict()
        self._newly_refused: list[ids.RequestFingerprint] = []
        self._suspects: set[ids.RequestFingerprint] = set()

    def record_crash(self, report: crash.Crash, now_s: float) -> None:
        """Add the requests of a crash, from any instance."""
        self._drop_expired(now_s)
        self._answers.record_often_answered(report.often_answered.fingerprints)
        known = self._crash_by_id.setdefault(
            report.crash_id, _ReportedCrash(now_s, set())
        )
        for key in report.requests:
            if len(known.requests) < MAX_REQUESTS_PER_CRASH:
                known.requests.add(key)
                self._suspects.update(key.fingerprints)
        while len(self._crash_by_id) > MAX_CRASHES:
            self._crash_by_id.popitem(last=False)
        for key in report.requests:
            if self._whole_crashes_servers(key):
                self._refuse(key.whole)
        for key in report.requests:
            if self._path_crashes_servers(key):
                self._refuse(key.path)

    def record_answer(
        self, key: crash.RequestKey, now_s: float
    ) -> tuple[ids.RequestFingerprint, ...]:
        """Discard the crashes of a request that a server has answered.

        Return the fingerprints that were suspected of several crashes or
        refused; other instances should clear them as well.
        """
        suspicious = tuple(
            fingerprint
            for fingerprint in key.fingerprints
            if self._is_suspicious(fingerprint)
        )
        self.clear(key.fingerprints, now_s)
        return suspicious

    def clear(
        self, names: Iterable[ids.RequestFingerprint], answered_s: float
    ) -> None:
        """Discard the crashes before an answer, and what rests on them."""
        for fingerprint in names:
            self._answers.record(fingerprint, answered_s)
            if fingerprint in self._refusals.names and self._suffices(
                fingerprint, self._crashes_with(fingerprint)
            ):
                continue
            self._refusals.clear(fingerprint)

    def often_answered(
        self, requests: Iterable[crash.RequestKey]
    ) -> tuple[ids.RequestFingerprint, ...]:
        """Return the fingerprints of requests that are answered often."""
        return tuple(
            fingerprint
            for key in requests
            for fingerprint in key.fingerprints
            if self._answers.is_often_answered(fingerprint)
        )

    def is_refused(self, key: crash.RequestKey) -> bool:
        """Return whether a request must not be sent."""
        return self._refusals.refused_of(key.fingerprints) is not None

    def trials_of(
        self, key: crash.RequestKey
    ) -> tuple[ids.RequestFingerprint, ...]:
        """Return the fingerprints that are refused, but let through once."""
        return self._refusals.trials_of(key.fingerprints)

    def update(self, now_s: float) -> tuple[ids.RequestFingerprint, ...]:
        """Drop old crashes; return what is refused since the last call."""
        self._drop_expired(now_s)
        newly_refused = tuple(self._newly_refused)
        self._newly_refused.clear()
        return newly_refused

    def _refuse(self, fingerprint: ids.RequestFingerprint) -> None:
        self._refusals.refuse((fingerprint,))
        self._newly_refused.append(fingerprint)

    def _whole_crashes_servers(self, key: crash.RequestKey) -> bool:
        if key.whole in self._refusals.names:
            return False
        return self._suffices(key.whole, self._crashes_with(key.whole))

    def _path_crashes_servers(self, key: crash.RequestKey) -> bool:
        """Return whether requests that share a path crash servers.

        At least one of the crashes isn't explained by a request that is refused
        as a whole.
        """
        if not self._refusals.names.isdisjoint(key.fingerprints):
            return False
        crashes = self._crashes_with(key.path)
        wholes = {
            other.whole
            for reported in crashes
            for other in reported.requests
            if other.path == key.path
        }
        return len(wholes) > 1 and self._suffices(key.path, crashes)

    def _suffices(
        self,
        fingerprint: ids.RequestFingerprint,
        crashes: Collection[_ReportedCrash],
    ) -> bool:
        """Return whether crashes are attributed to what they share."""
        if len(crashes) < CRASHES_TO_REFUSE:
            return False
        if not self._answers.is_answered(fingerprint):
            return True
        return not crash_causes.may_share_cause(
            [reported.first_report_s for reported in crashes]
        )

    def _crashes_with(
        self, fingerprint: ids.RequestFingerprint
    ) -> list[_ReportedCrash]:
        """Return the crashes since the last answer to such a request."""
        cleared_s = self._answers.cleared_s(fingerprint)
        return [
            reported
            for reported in self._crash_by_id.values()
            if cleared_s < reported.first_report_s
            and any(
                fingerprint in key.fingerprints for key in reported.requests
            )
        ]

    def _is_suspicious(self, fingerprint: ids.RequestFingerprint) -> bool:
        if self._refusals.is_recorded(fingerprint):
            return True
        if fingerprint not in self._suspects:
            return False
        return len(self._crashes_with(fingerprint)) >= CRASHES_TO_REFUSE - 1

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - CRASH_WINDOW_S
        expired_ids = [
            crash_id
            for crash_id, reported in self._crash_by_id.items()
            if reported.first_report_s <= oldest_s
        ]
        if not expired_ids:
            return
        for expired_id in expired_ids:
            del self._crash_by_id[expired_id]
        self._suspects.clear()
        for remaining in self._crash_by_id.values():
            for key in remaining.requests:
                self._suspects.update(key.fingerprints)
