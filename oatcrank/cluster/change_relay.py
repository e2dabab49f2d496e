"""Pass on what this instance knows of the store to others."""

from oatcrank.cluster import relay_follower, relay_messages, store_mirror

# Longer waits would delay the detection of a relay that has stopped.
MAX_WAIT_S = 1.0


class ChangeRelay:
    """Answer queries for changes from the local copy of the store.

    The copy holds the newest item of each key, and for removed keys that they
    were removed.  So an answer is complete whenever it is asked for, and
    applying it twice, late or out of order changes nothing that is newer.
    """

    def __init__(
        self,
        mirror: store_mirror.StoreMirror,
        follower: relay_follower.RelayFollower,
    ) -> None:
        """Answer from a copy, and let the follower know who is asked."""
        self._mirror = mirror
        self._follower = follower
        # Most instances that ask have got the same changes before.
        self._packed_by_after: dict[int, bytes] = {}
        self._packed_at_count = 0

    async def answer(
        self, query: relay_messages.ChangesQuery
    ) -> relay_messages.ChangesReply:
        """Return the changes after a revision, waiting for the first one."""
        mirror = self._mirror
        self._follower.record_query()
        if not mirror.is_complete_after(query.after):
            return relay_messages.ChangesReply(complete=False)
        await mirror.wait_for_changes(query.after, self._wait_s(query))
        return relay_messages.ChangesReply(
            complete=True,
            revision=mirror.revision,
            packed_items=self._packed(query.after),
            age_s=mirror.age_s(),
        )

    def _wait_s(self, query: relay_messages.ChangesQuery) -> float:
        """Return how long to wait: not past the age at which it is of no use.

        The instance that asks then loses no time before it asks elsewhere.
        """
        useful_s = relay_follower.MAX_AGE_S - self._mirror.age_s()
        return max(0, min(query.wait_s, MAX_WAIT_S, useful_s))

    def _packed(self, after: int) -> bytes:
        if self._packed_at_count != self._mirror.change_count:
            self._packed_at_count = self._mirror.change_count
            self._packed_by_after.clear()
        packed = self._packed_by_after.get(after)
        if packed is None:
            items = self._mirror.items_after(after)
            packed = relay_messages.pack(items) if items else b''
            self._packed_by_after[after] = packed
        return packed
