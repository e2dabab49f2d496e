"""Keep a pool's plan in the key-value service."""

import msgspec

from oatcrank import errors, ids
from oatcrank.control import plan, plan_code
from oatcrank.store import keyvalue

MAX_BYTES = 1_000_000


class Deposition(errors.OatcrankError):
    """Report that another controller has written the plan."""


class PlanTooLarge(errors.OatcrankError):
    """Report a plan that the key-value service would not take."""


class PlanStore:
    """Read a plan and write it by compare-and-swap."""

    def __init__(self, store: keyvalue.KeyValue, pool: ids.PoolName) -> None:
        """Use the key of one pool."""
        self._store = store
        self._key = f'plans/{pool}'
        self._revision = keyvalue.ABSENT

    async def read(self) -> plan.Plan | None:
        """Return the plan and remember its revision for the next write.

        A stale plan does no harm: the next write meets a conflict.
        """
        entry = await self._store.get(self._key)
        if entry is None:
            self._revision = keyvalue.ABSENT
            return None
        self._revision = entry.revision
        return _decoded(self._key, entry.value)

    async def write(self, wanted: plan.Plan) -> None:
        """Write over the plan read or written last.

        Raises Deposition, PlanTooLarge, errors.Unavailable if it surely was
        not written and errors.UnknownOutcome if that was not found out.
        """
        text = plan_code.encode(wanted)
        if len(text) > MAX_BYTES:
            raise PlanTooLarge(f'{self._key}: {len(text)} bytes')
        try:
            self._revision = await self._store.put(
                self._key,
                text,
                expected=self._revision,
            )
        except (errors.Conflict, errors.UnknownOutcome) as error:
            await self._settle(text, error)

    async def _settle(self, text: str, cause: errors.PlatformError) -> None:
        try:
            entry = await self._store.get(self._key)
        except errors.PlatformError as error:
            raise errors.UnknownOutcome(str(error)) from error
        if entry is not None and entry.value == text:
            self._revision = entry.revision
            return
        if isinstance(cause, errors.Conflict):
            raise Deposition(str(cause)) from cause
        # The write may still be under way.
        raise errors.UnknownOutcome(str(cause)) from cause


def _decoded(key: str, text: str) -> plan.Plan:
    try:
        return plan_code.decode(text)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f'{key}: {error}') from error
