"""Append the operators' changes to the change log."""

import asyncio
import datetime

from oatcrank import clock, errors, logs
from oatcrank.configuration import (
    append_log,
    change,
    change_errors,
    change_log,
    snapshot_store,
)

ANSWER_TIMEOUT_S = 8.0
RETRY_S = 0.1


class ChangeWriter:
    """Append changes one at a time and determine each outcome.

    A change whose based_on is its profile's revision cannot have been
    accepted yet, as that would have raised the revision.  So a resend can
    only be among the changes after its based_on.
    """

    def __init__(
        self,
        log: change_log.ChangeLog,
        snapshots: snapshot_store.SnapshotStore,
        *,
        clock: clock.Clock,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
        retry_s: float = RETRY_S,
    ) -> None:
        """Append to a log and write its snapshots."""
        self._log = log
        self._snapshots = snapshots
        self._clock = clock
        self._answer_timeout_s = answer_timeout_s
        self._retry_s = retry_s
        self._lock = asyncio.Lock()

    async def accept(self, proposal: change.Proposal) -> change.Change:
        """Return the accepted change, from this or an earlier attempt.

        Raises InvalidChange, ChangeConflict and ChangeNotApplied if this
        attempt certainly had no effect, and ChangeOutcomeUnknown if it may
        still have one.
        """
        _check(proposal)
        deadline = self._clock.now() + self._answer_timeout_s
        async with self._lock:
            accepted = await self._accept(proposal, deadline)
        if accepted.number % self._log.segment_changes == 0:
            await self._save()
        return accepted

    async def _accept(
        self,
        proposal: change.Proposal,
        deadline: float,
    ) -> change.Change:
        pending_number = 0
        while True:
            number = self._log.newest + 1
            if pending_number < number:
                # A write in flight can only create the record of its number.
                pending_number = 0
            try:
                accepted = await self._attempt(proposal)
            except errors.PlatformError as error:
                if isinstance(error, errors.UnknownOutcome):
                    pending_number = number
                self._raise_unless_retriable(
                    proposal, pending_number, deadline, error
                )
                await asyncio.sleep(self._retry_s)
            else:
                if accepted is not None:
                    return accepted

    def _raise_unless_retriable(
        self,
        proposal: change.Proposal,
        pending_number: int,
        deadline: float,
        cause: errors.PlatformError,
    ) -> None:
        """Raise the error for a failed attempt unless it can be retried.

        A retry is possible only while a write may be in flight, until the
        deadline.
        """
        if not pending_number:
            raise change_errors.ChangeNotApplied(str(cause)) from cause
        if self._clock.now() >= deadline:
            raise change_errors.ChangeOutcomeUnknown(
                proposal.change_id,
                str(cause),
            ) from cause

    async def _attempt(
        self,
        proposal: change.Proposal,
    ) -> change.Change | None:
        """Append at the next number; return None if another was first."""
        if self._log.revision(proposal.profile) != proposal.based_on:
            return await self._find_accepted(proposal)
        self._check_against_state(proposal)
        record = self._record(proposal)
        result = await self._log.records.append(
            record.number,
            change_log.encode_record(record),
        )
        if result is append_log.AppendResult.overtaken:
            await self._read_next(record.number)
            return None
        self._log.apply(record)
        return record

    async def _read_next(self, number: int) -> None:
        try:
            await self._log.read_next()
        except errors.UnknownOutcome as error:
            raise errors.Unavailable(str(error)) from error
        if self._log.newest < number:
            raise errors.Unavailable(f'change {number} is not visible yet')

    def _check_against_state(self, proposal: change.Proposal) -> None:
        is_in_force = proposal.profile in self._log.profile_by_name
        is_create = proposal.kind is change.ChangeKind.create
        if is_in_force and is_create:
            raise change_errors.InvalidChange(
                f'profile {proposal.profile} already exists; change it instead',
            )
        if not is_in_force and not is_create:
            raise change_errors.InvalidChange(
                f'profile {proposal.profile} does not exist; create it first',
            )

    async def _find_accepted(
        self,
        proposal: change.Proposal,
    ) -> change.Change | None:
        """Return the change if already accepted, or None to attempt it."""
        for accepted in await self._changes_after(proposal.based_on):
            if accepted.change_id != proposal.change_id:
                continue
            if accepted.matches(proposal):
                return accepted
            raise change_errors.InvalidChange(
                f'change id {proposal.change_id} is already in use',
            )
        current = self._log.state(proposal.profile)
        if self._log.revision(proposal.profile) == proposal.based_on:
            # Reading the log reached the revision that the operator read.
            return None
        if current is None or current.revision < proposal.based_on:
            raise errors.Unavailable(
                f'revision {proposal.based_on} of {proposal.profile} is not '
                + f'known here; known: {self._log.revision(proposal.profile)}',
            )
        raise change_errors.ChangeConflict(proposal.profile, current)

    async def _changes_after(
        self,
        number: int,
    ) -> tuple[change.Change, ...]:
        try:
            await self._log.catch_up()
        except errors.PlatformError as error:
            logs.event('catch_up_failed', error=error)
        kept_changes = self._log.kept_after(number)
        if kept_changes is not None:
            return kept_changes
        try:
            return await self._snapshots.changes_after(number)
        except errors.UnknownOutcome as error:
            raise errors.Unavailable(str(error)) from error

    def _record(self, proposal: change.Proposal) -> change.Change:
        return change.Change(
            number=self._log.newest + 1,
            change_id=proposal.change_id,
            who=proposal.who,
            when=_utc_text(),
            kind=proposal.kind,
            profile=proposal.profile,
            before=self._log.profile_by_name.get(proposal.profile),
            after=proposal.after,
            based_on=proposal.based_on,
        )

    async def _save(self) -> None:
        try:
            await self._snapshots.save()
        except errors.PlatformError as error:
            logs.event('snapshot_write_failed', error=error)


def _check(proposal: change.Proposal) -> None:
    if not proposal.change_id or not proposal.who:
        raise change_errors.InvalidChange('change_id and who are required')
    is_retire = proposal.kind is change.ChangeKind.retire
    if is_retire is not (proposal.after is None):
        raise change_errors.InvalidChange(
            'a retirement has no content; any other change requires content',
        )
    if proposal.after and proposal.after.name != proposal.profile:
        raise change_errors.InvalidChange(
            f'the content is for profile {proposal.after.name}, '
            + f'but the request is for {proposal.profile}',
        )


def _utc_text() -> str:
    now = datetime.datetime.now(tz=datetime.UTC)
    return now.isoformat(timespec='milliseconds')
