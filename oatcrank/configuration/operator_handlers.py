"""Handle the operators' requests: profiles, history, audit and status."""

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
    profile_validation,
    snapshot_store,
)
from oatcrank.entry import json_handler
from oatcrank.membership import membership

PAGE_CHANGES = 200


class OperatorDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the dependencies of the operators' handlers.

    sections() returns further parts of the status.
    """

    log: change_log.ChangeLog
    snapshots: snapshot_store.SnapshotStore
    writer: change_writer.ChangeWriter
    follower: change_follower.ChangeFollower
    membership: membership.Membership
    sections: Callable[[], dict[str, Any]] = dict


class OperatorHandler(json_handler.JsonHandler):
    """Base class for the operators' handlers."""

    def initialize(self, dependencies: OperatorDependencies) -> None:
        """Set the dependencies."""
        self.dependencies = dependencies

    def check_ready(self) -> None:
        """Raise refusal.Refused until the change log has been read."""
        if self.dependencies.follower.newest == change_follower.NO_CHANGE_READ:
            raise refusal.Refused(operator_refusals.not_ready())

    async def accept(
        self,
        kind: change.ChangeKind,
        name: ids.ProfileName,
        request: operator_messages.ChangeRequest,
        status: int = HTTPStatus.OK,
    ) -> None:
        """Submit a change and answer with its result."""
        if request.profile is not None:
            problems = '; '.join(
                profile_validation.find_problems(request.profile)
            )
            if problems:
                raise refusal.Refused(operator_refusals.bad_request(problems))
        change_id = request.change_id or ids.ChangeId(uuid.uuid4().hex)
        proposal = change.Proposal(
            change_id=change_id,
            who=request.who,
            kind=kind,
            profile=name,
            after=request.profile,
            based_on=request.based_on,
        )
        try:
            accepted = await self.dependencies.writer.accept(proposal)
        except change_errors.ConfigurationError as error:
            self.refuse(change_refusal.refusal_of(error, change_id))
            return
        self.answer(accepted, status)

    async def changes(
        self,
        after: int,
        at_most: int | None = None,
    ) -> tuple[change.Change, ...]:
        """Return changes; raises refusal.Refused if they are unavailable."""
        try:
            return await self.dependencies.snapshots.changes_after(
                after,
                at_most=at_most,
            )
        except errors.PlatformError as error:
            raise refusal.Refused(
                operator_refusals.changes_unavailable(error)
            ) from error


class ProfilesHandler(OperatorHandler):
    """List the profiles and create new ones."""

    def get(self) -> None:
        """List the profiles in force."""
        self.check_ready()
        snapshot = self.dependencies.log.take_snapshot()
        self.answer(
            operator_messages.ProfileList(
                newest=snapshot.number,
                profiles=tuple(
                    state
                    for state in snapshot.profiles
                    if state.content is not None
                ),
            ),
        )

    async def post(self) -> None:
        """Create a profile."""
        request = self.decode(operator_messages.ChangeRequest)
        if request.profile is None:
            raise refusal.Refused(
                operator_refusals.bad_request('the request body has no profile')
            )
        await self.accept(
            change.ChangeKind.create,
            request.profile.name,
            request,
            HTTPStatus.CREATED,
        )


class ProfileHandler(OperatorHandler):
    """Show, change and retire one profile."""

    def get(self, name: str) -> None:
        """Show a profile and its revision, also after it was retired."""
        self.check_ready()
        state = self.dependencies.log.state(ids.ProfileName(name))
        if state is None:
            raise refusal.Refused(operator_refusals.unknown_profile(name))
        self.answer(state)

    async def put(self, name: str) -> None:
        """Change a profile."""
        request = self.decode(operator_messages.ChangeRequest)
        await self.accept(
            change.ChangeKind.change,
            ids.ProfileName(name),
            request,
        )

    async def delete(self, name: str) -> None:
        """Retire a profile; uses query arguments, as DELETE has no body."""
        based_on = self.get_query_argument('based_on', '0')
        if not based_on.isdecimal():
            raise refusal.Refused(
                operator_refusals.bad_request(
                    'based_on must be a revision of 0 or more'
                ),
            )
        change_id = self.get_query_argument('change_id', '')
        request = operator_messages.ChangeRequest(
            who=self.get_query_argument('who', ''),
            based_on=ids.Revision(int(based_on)),
            change_id=ids.ChangeId(change_id),
        )
        await self.accept(
            change.ChangeKind.retire,
            ids.ProfileName(name),
            request,
        )


class HistoryHandler(OperatorHandler):
    """Show every change of one profile."""

    async def get(self, name: str) -> None:
        """List the profile's changes in order."""
        self.check_ready()
        if self.dependencies.log.state(ids.ProfileName(name)) is None:
            raise refusal.Refused(operator_refusals.unknown_profile(name))
        self.answer(
            operator_messages.ChangeList(
                newest=self.dependencies.log.newest,
                changes=tuple(
                    record
                    for record in await self.changes(0)
                    if record.profile == name
                ),
            ),
        )


class AuditHandler(OperatorHandler):
    """Show every change of every profile."""

    async def get(self) -> None:
        """List a page of changes after a number."""
        self.check_ready()
        after = self.get_query_argument('after', '0')
        if not after.isdecimal():
            raise refusal.Refused(
                operator_refusals.bad_request(
                    'after must be a number of 0 or more'
                )
            )
        self.answer(
            operator_messages.ChangeList(
                newest=self.dependencies.log.newest,
                changes=await self.changes(int(after), PAGE_CHANGES),
            ),
        )


class StatusHandler(OperatorHandler):
    """Show the status of this instance."""

    def get(self) -> None:
        """Describe the instance and its view of the others."""
        membership = self.dependencies.membership
        self.answer(
            operator_messages.Status(
                this=membership.own,
                members=membership.alive(),
                newest_change=self.dependencies.follower.newest,
                isolated=self.dependencies.follower.isolated,
                version_by_name=membership.documents.version_by_name,
                sections=self.dependencies.sections(),
            ),
        )


def routes(dependencies: OperatorDependencies) -> list[Any]:
    """Return the operators' routes for a tornado application."""
    shared = {'dependencies': dependencies}
    return [
        ('/v1/profiles', ProfilesHandler, shared),
        ('/v1/profiles/([^/]+)', ProfileHandler, shared),
        ('/v1/profiles/([^/]+)/history', HistoryHandler, shared),
        ('/v1/audit', AuditHandler, shared),
        ('/v1/status', StatusHandler, shared),
    ]
