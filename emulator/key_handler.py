"""Handle reads and writes of single keys."""

from http import HTTPStatus

import msgspec

from emulator import cut_handler, key_value_service
from oatcrank import errors, ids

MAX_VALUE_BYTES = 1_000_000


class PutBody(msgspec.Struct, frozen=True):
    """Body of a put."""

    value: str
    expected: ids.Revision


class PutAnswer(msgspec.Struct, frozen=True):
    """Answer of a put: the new revision, or the current one on conflict."""

    revision: ids.Revision


class EmptyAnswer(msgspec.Struct, frozen=True):
    """Answer without content."""


class KeyHandler(cut_handler.CutHandler):
    """Read, write and delete one key."""

    def initialize(self, service: key_value_service.KeyValueService) -> None:
        """Set the service."""
        self._service = service

    def prepare(self) -> None:
        """Refuse a call over the rate limit."""
        kind = (self.request.method or '').lower()
        if not self._service.admit(kind):
            self.answer(EmptyAnswer(), HTTPStatus.TOO_MANY_REQUESTS)

    async def get(self, key: str) -> None:
        """Answer with the entry."""
        try:
            entry = await self._service.entries().get(key)
        except errors.Unavailable:
            self._answer_down()
            return
        if entry is None:
            self.answer(EmptyAnswer(), HTTPStatus.NOT_FOUND)
        else:
            self.answer(entry)

    async def put(self, key: str) -> None:
        """Write the entry if the expected revision matches."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.answer(EmptyAnswer(), HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        put = self.decode(PutBody)
        if self._service.faults.consume('lose_requests'):
            self.cut()
            return
        try:
            await self._write(key, put)
        except errors.Unavailable:
            self._answer_down()
        except errors.Conflict as conflict:
            self.answer(
                PutAnswer(ids.Revision(conflict.revision)), HTTPStatus.CONFLICT
            )

    async def delete(self, key: str) -> None:
        """Delete the entry."""
        if self._service.faults.consume('lose_requests'):
            self.cut()
            return
        try:
            await self._service.entries().delete(key)
        except errors.Unavailable:
            self._answer_down()
            return
        self._answer_write(EmptyAnswer())

    async def _write(self, key: str, put: PutBody) -> None:
        revision = await self._service.entries().put(
            key, put.value, expected=put.expected
        )
        self._answer_write(PutAnswer(revision))

    def _answer_write(self, message: msgspec.Struct) -> None:
        if self._service.faults.consume('lose_answers'):
            self.cut()
        else:
            self.answer(message)

    def _answer_down(self) -> None:
        self.answer(EmptyAnswer(), HTTPStatus.SERVICE_UNAVAILABLE)
