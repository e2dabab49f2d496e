"""Store a pool's plan in the key-value service."""

import msgspec

from oatcrank import errors, ids
from oatcrank.control import plan, plan_codec
from oatcrank.store import keyvalue

MAX_PLAN_BYTES = 1_000_000


class ControllerSuperseded(errors.OatcrankError):
    """Report that another controller has taken over."""


class PlanTooLarge(errors.OatcrankError):
    """Report a plan that exceeds the value size of the key-value service."""


class PlanStore:
    """Read a plan and write it by compare-and-swap."""

    def __init__(self, store: keyvalue.KeyValue, pool: ids.PoolName) -> None:
        """Use the key of one pool."""
        self._store = store
        self._key = f'plans/{pool}'
        self._revision = keyvalue.ABSENT

    async def read(self) -> plan.Plan | None:
        """Return the plan and keep its revision for the next write.

        A stale read is safe: the next write then fails with a conflict.
        """
        entry = await self._store.get(self._key)
        if entry is None:
            self._revision = keyvalue.ABSENT
            return None
        self._revision = entry.revision
        return _decode(self._key, entry.value)

    async def write(self, updated: plan.Plan) -> None:
        """Replace the plan read or written last.

        Raises ControllerSuperseded, PlanTooLarge, errors.Unavailable if the
        plan was certainly not written, and errors.UnknownOutcome if that is
        unknown.
        """
        text = plan_codec.encode(updated)
        if len(text) > MAX_PLAN_BYTES:
            raise PlanTooLarge(
                f'{self._key}: {len(text)} bytes; allowed: {MAX_PLAN_BYTES}'
            )
        try:
            self._revision = await self._store.put(
                self._key,
                text,
                expected=self._revision,
            )
        except (errors.Conflict, errors.UnknownOutcome) as error:
            await self._resolve_write(text, error)

    async def _resolve_write(
        self, text: str, cause: errors.PlatformError
    ) -> None:
        try:
            entry = await self._store.get(self._key)
        except errors.PlatformError as error:
            raise errors.UnknownOutcome(str(error)) from error
        if entry is not None and entry.value == text:
            self._revision = entry.revision
            return
        if isinstance(cause, errors.Conflict):
            raise ControllerSuperseded(str(cause)) from cause
        # The write may still be in flight.
        raise errors.UnknownOutcome(str(cause)) from cause


def _decode(key: str, text: str) -> plan.Plan:
    try:
        return plan_codec.decode(text)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f'{key}: invalid plan: {error}') from error
