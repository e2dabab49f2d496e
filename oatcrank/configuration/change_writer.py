"""Accept the operators' changes into the change log."""

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

ANSWER_WITHIN_S = 8.0
RETRY_S = 0.1


class ChangeWriter:
    """Append changes, one at a time, and find out how each ended.

    A change whose based_on is its profile's revision cannot have been
    accepted yet, as that would have raised the revision.  So a resend only
    has to be looked for among the changes after its based_on.
    """

    def __init__(
        self,
        log: change_log.ChangeLog,
        snapshots: snapshot_store.SnapshotStore,
        *,
        time: clock.Clock,
        answer_within_s: float = ANSWER_WITHIN_S,
        retry_s: float = RETRY_S,
    ) -> None:
        """Append to a log and write its snapshots."""
        self._log = log
        self._snapshots = snapshots
        self._time = time
        self._answer_within_s = answer_within_s
        self._retry_s = retry_s
        self._turn = asyncio.Lock()

    async def accept(self, proposal: change.Proposal) -> change.Change:
        """Return the change as accepted, now or by an earlier sending.

        Raises InvalidChange, ChangeConflict and ChangeNotMade if this attempt
        surely had no effect, and ChangeUnknown if it may yet have one.
        """
        _check(proposal)
        deadline = self._time.now() + self._answer_within_s
        async with self._turn:
            accepted = await self._accept(proposal, deadline)
        if accepted.number % self._log.segment_changes == 0:
            await self._save()
        return accepted

    async def _accept(
        self,
        proposal: change.Proposal,
        deadline: float,
    ) -> change.Change:
        pending = 0
        while True:
            number = self._log.newest + 1
            if pending < number:
                # A write under way can only create the record of its number.
                pending = 0
            try:
                accepted = await self._attempt(proposal)
            except errors.PlatformError as error:
                if isinstance(error, errors.UnknownOutcome):
                    pending = number
                self._give_up(proposal, pending, deadline, error)
                await asyncio.sleep(self._retry_s)
            else:
                if accepted is not None:
                    return accepted

    def _give_up(
        self,
        proposal: change.Proposal,
        pending: int,
        deadline: float,
        cause: errors.PlatformError,
    ) -> None:
        """Raise how the change ended, unless there is time to find out."""
        if not pending:
            raise change_errors.ChangeNotMade(str(cause)) from cause
        if self._time.now() >= deadline:
            raise change_errors.ChangeUnknown(
                proposal.change_id,
                str(cause),
            ) from cause

    async def _attempt(
        self,
        proposal: change.Proposal,
    ) -> change.Change | None:
        """Try the next number; None means that others were first."""
        if self._log.revision(proposal.profile) != proposal.based_on:
            return await self._settled(proposal)
        self._check_against_state(proposal)
        record = self._record(proposal)
        ended = await self._log.records.append(
            record.number,
            change_log.encoded(record),
        )
        if ended is append_log.Appended.overtaken:
            await self._read_overtaking(record.number)
            return None
        self._log.apply(record)
        return record

    async def _read_overtaking(self, number: int) -> None:
        try:
            await self._log.read_next()
        except errors.UnknownOutcome as error:
            raise errors.Unavailable(str(error)) from error
        if self._log.newest < number:
            raise errors.Unavailable(f'change {number} is not visible yet')

    def _check_against_state(self, proposal: change.Proposal) -> None:
        exists = proposal.profile in self._log.profile_by_name
        creates = proposal.kind is change.ChangeKind.create
        if exists and creates:
            raise change_errors.InvalidChange(
                f'profile {proposal.profile} exists; change it instead',
            )
        if not exists and not creates:
            raise change_errors.InvalidChange(
                f'profile {proposal.profile} does not exist; create it',
            )

    async def _settled(
        self,
        proposal: change.Proposal,
    ) -> change.Change | None:
        """Return the accepted change, or None if it can now be tried."""
        for found in await self._changes_after(proposal.based_on):
            if found.change_id != proposal.change_id:
                continue
            if found.answers(proposal):
                return found
            raise change_errors.InvalidChange(
                f'change id {proposal.change_id} is already in use',
            )
        current = self._log.state(proposal.profile)
        if self._log.revision(proposal.profile) == proposal.based_on:
            # Reading on has brought the revision that the operator saw.
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
        kept = self._log.kept_after(number)
        if kept is not None:
            return kept
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
            logs.event('snapshot_not_written', error=error)


def _check(proposal: change.Proposal) -> None:
    if not proposal.change_id or not proposal.who:
        raise change_errors.InvalidChange('change_id and who must be given')
    retires = proposal.kind is change.ChangeKind.retire
    if retires is not (proposal.after is None):
        raise change_errors.InvalidChange(
            'a retired profile has no content, any other has',
        )
    if proposal.after and proposal.after.name != proposal.profile:
        raise change_errors.InvalidChange(
            f'the content names profile {proposal.after.name}, '
            + f'the request {proposal.profile}',
        )


def _utc_text() -> str:
    now = datetime.datetime.now(tz=datetime.UTC)
    return now.isoformat(timespec='milliseconds')
