"""Watch the store, and notice soon that a watch will never be answered.

The answer to a watch can be lost while its connection lives, and calls on new
connections succeed.  So an instance whose watch is silent asks others what they
know; one of all instances checks the store itself by short watches.
"""

import asyncio
from collections.abc import Callable

from oatcrank import errors, ids, logs
from oatcrank.cluster import change_source, store, store_metrics

WATCH_WAIT_S = 10.0
# Wait of an instance that can't rely on what others know.
SHORT_WATCH_WAIT_S = 1.0
# Pause before another instance is asked, and between two such questions.
LOOK_INTERVAL_S = 0.5
# An answer may be on its way while another instance already knows the change.
ANSWER_GRACE_S = 0.25

OnChecked = Callable[[float], None]


class CheckedWatch:
    """Make one watch after the other."""

    def __init__(
        self,
        store_client: store.Store,
        source: change_source.ChangeSource | None,
        on_checked: OnChecked,
    ) -> None:
        """Call on_checked with the age of each proof that nothing is missed."""
        self._store = store_client
        self._source = source
        self._on_checked = on_checked
        self._waiting: asyncio.Task[store.Changes] | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether a watch is waiting for its answer."""
        return self._waiting is not None

    def restart(self) -> None:
        """Cancel a watch that has probably lost its connection."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def run(
        self, after: ids.Revision
    ) -> store.Changes | change_source.RelayedChanges | None:
        """Return the changes after a revision, from the store or an instance.

        Return None if neither can be relied on; the watch is to be made anew.
        """
        is_short = self._source is None or self._source.checks_store()
        wait_s = SHORT_WATCH_WAIT_S if is_short else WATCH_WAIT_S
        waiting = asyncio.ensure_future(self._store.watch(after, wait_s))
        looking = asyncio.ensure_future(self._look(after, endless=is_short))
        self._waiting = waiting
        try:
            await asyncio.wait(
                (waiting, looking), return_when=asyncio.FIRST_COMPLETED
            )
            if not waiting.done():
                await asyncio.wait((waiting,), timeout=ANSWER_GRACE_S)
            if not waiting.done():
                return _after_silence(after, looking.result())
            return await _result(waiting)
        finally:
            self._end(waiting, looking)

    def _end(self, *tasks: asyncio.Task) -> None:
        self._waiting = None
        for task in tasks:
            task.cancel()

    async def _look(
        self, after: ids.Revision, *, endless: bool
    ) -> change_source.RelayedChanges | None:
        """Return the changes that another instance knows, once there are any.

        Return None if no instance answers, but not if the look is endless.
        """
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            if self._source is None:
                continue
            found = await self._source.look(after)
            if found is not None and found.revision > after:
                return found
            if found is not None:
                self._on_checked(found.age_s)
            elif not endless:
                return None


async def _result(waiting: asyncio.Task[store.Changes]) -> store.Changes:
    try:
        return await waiting
    except asyncio.CancelledError:
        if not waiting.cancelled():
            raise
        raise errors.Unavailable('store watch was cancelled') from None


def _after_silence(
    after: ids.Revision, found: change_source.RelayedChanges | None
) -> change_source.RelayedChanges | None:
    store_metrics.SILENT_WATCHES.labels(found is not None).inc()
    logs.event(
        'store_watch_silent',
        revision=after,
        newer=None if found is None else found.revision,
    )
    return found
