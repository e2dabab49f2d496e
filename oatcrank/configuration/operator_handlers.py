"""Answer operators: profiles, history, audit and status."""

import uuid
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from oatcrank import errors, ids, refusal
from oatcrank.configuration import (
    change,
    change_errors,
    change_follower,
    change_log,
    change_refusal,
    change_writer,
    operator_messages,
    operator_refusals,
    profile_check,
    snapshot_store,
)
from oatcrank.entry import json_handler
from oatcrank.membership import membership

PAGE_CHANGES = 200


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the operators' handlers need."""

    log: change_log.ChangeLog
    snapshots: snapshot_store.SnapshotStore
    writer: change_writer.ChangeWriter
    follower: change_follower.ChangeFollower
    membership: membership.Membership
    sections: Callable[[], dict[str, Any]] = dict


class OperatorHandler(json_handler.JsonHandler):
    """Share the configuration among the operators' handlers."""

    def initialize(self, configuration: Configuration) -> None:
        """Keep what the handler works on."""
        self.parts = configuration

    def check_informed(self) -> None:
        """Refuse while the profiles are not known; raises refusal.Refused."""
        if self.parts.follower.newest == change_follower.UNINFORMED:
            raise refusal.Refused(operator_refusals.uninformed())

    async def accept(
        self,
        kind: change.ChangeKind,
        name: ids.ProfileName,
        asked: operator_messages.ChangeRequest,
        status: int = HTTPStatus.OK,
    ) -> None:
        """Try a change and answer how it ended."""
        if asked.profile is not None:
            faults = '; '.join(profile_check.faults(asked.profile))
            if faults:
                raise refusal.Refused(operator_refusals.bad_request(faults))
        change_id = asked.change_id or ids.ChangeId(uuid.uuid4().hex)
        proposal = change.Proposal(
            change_id=change_id,
            who=asked.who,
            kind=kind,
            profile=name,
            after=asked.profile,
            based_on=asked.based_on,
        )
        try:
            accepted = await self.parts.writer.accept(proposal)
        except change_errors.ConfigurationError as error:
            self.refuse(change_refusal.refusal_of(error, change_id))
            return
        self.answer(accepted, status)

    async def changes(
        self,
        after: int,
        at_most: int | None = None,
    ) -> tuple[change.Change, ...]:
        """Return changes from the log, or refuse if it cannot be read."""
        try:
            return await self.parts.snapshots.changes_after(
                after,
                at_most=at_most,
            )
        except errors.PlatformError as error:
            raise refusal.Refused(
                operator_refusals.unreadable(error)
            ) from error


class ProfilesHandler(OperatorHandler):
    """List the profiles and create new ones."""

    def get(self) -> None:
        """List the profiles in force."""
        self.check_informed()
        whole = self.parts.log.whole()
        self.answer(
            operator_messages.ProfileList(
                newest=whole.number,
                profiles=tuple(
                    state
                    for state in whole.profiles
                    if state.content is not None
                ),
            ),
        )

    async def post(self) -> None:
        """Create a profile."""
        asked = self.decode(operator_messages.ChangeRequest)
        if asked.profile is None:
            raise refusal.Refused(
                operator_refusals.bad_request('the body has no profile')
            )
        await self.accept(
            change.ChangeKind.create,
            asked.profile.name,
            asked,
            HTTPStatus.CREATED,
        )


class ProfileHandler(OperatorHandler):
    """Show, change and retire one profile."""

    def get(self, name: str) -> None:
        """Show a profile and its revision, also after it was retired."""
        self.check_informed()
        state = self.parts.log.state(ids.ProfileName(name))
        if state is None:
            raise refusal.Refused(operator_refusals.never_created(name))
        self.answer(state)

    async def put(self, name: str) -> None:
        """Change a profile."""
        asked = self.decode(operator_messages.ChangeRequest)
        await self.accept(
            change.ChangeKind.change,
            ids.ProfileName(name),
            asked,
        )

    async def delete(self, name: str) -> None:
        """Retire a profile; query arguments, as DELETE has no body."""
        based_on = self.get_query_argument('based_on', '0')
        if not based_on.isdecimal():
            raise refusal.Refused(
                operator_refusals.bad_request('based_on is a revision from 0'),
            )
        change_id = self.get_query_argument('change_id', '')
        asked = operator_messages.ChangeRequest(
            who=self.get_query_argument('who', ''),
            based_on=ids.Revision(int(based_on)),
            change_id=ids.ChangeId(change_id),
        )
        await self.accept(
            change.ChangeKind.retire,
            ids.ProfileName(name),
            asked,
        )


class HistoryHandler(OperatorHandler):
    """Show every change of one profile."""

    async def get(self, name: str) -> None:
        """List the profile's changes in order."""
        self.check_informed()
        if self.parts.log.state(ids.ProfileName(name)) is None:
            raise refusal.Refused(operator_refusals.never_created(name))
        self.answer(
            operator_messages.ChangeList(
                newest=self.parts.log.newest,
                changes=tuple(
                    found
                    for found in await self.changes(0)
                    if found.profile == name
                ),
            ),
        )


class AuditHandler(OperatorHandler):
    """Show every change of every profile."""

    async def get(self) -> None:
        """List a page of changes after a number."""
        self.check_informed()
        after = self.get_query_argument('after', '0')
        if not after.isdecimal():
            raise refusal.Refused(
                operator_refusals.bad_request('after is a number from 0')
            )
        self.answer(
            operator_messages.ChangeList(
                newest=self.parts.log.newest,
                changes=await self.changes(int(after), PAGE_CHANGES),
            ),
        )


class StatusHandler(OperatorHandler):
    """Show how this instance is."""

    def get(self) -> None:
        """Describe the instance and its view of the others."""
        known = self.parts.membership
        self.answer(
            operator_messages.Status(
                this=known.this,
                members=known.alive(),
                newest_change=self.parts.follower.newest,
                isolated=self.parts.follower.isolated,
                version_by_name=known.documents.version_by_name,
                sections=self.parts.sections(),
            ),
        )


def routes(configuration: Configuration) -> list[Any]:
    """Return the operators' routes for a tornado application."""
    shared = {'configuration': configuration}
    return [
        ('/v1/profiles', ProfilesHandler, shared),
        ('/v1/profiles/([^/]+)', ProfileHandler, shared),
        ('/v1/profiles/([^/]+)/history', HistoryHandler, shared),
        ('/v1/audit', AuditHandler, shared),
        ('/v1/status', StatusHandler, shared),
    ]
