"""Know the instances and which of them callers should use."""

from oatcrank import ids
from oatcrank.cluster import member

ADDRESSES = 64
# With fewer in the caller's own failure domain, others are named as well.
FEWEST_NEAR = 2


class Members:
    """Hold the registered instances by id."""

    def __init__(self, own: member.Member) -> None:
        """Know only this instance."""
        self.own = own
        self.by_id: dict[ids.InstanceId, member.Member] = {}
        self._most = 1

    @property
    def most(self) -> int:
        """Return the largest number of instances ever known at once."""
        return self._most

    def put(self, one: member.Member) -> None:
        """Take an instance's newer registration."""
        self.by_id[one.instance_id] = one
        self._most = max(self._most, len(self.by_id))

    def remove(self, instance_id: ids.InstanceId) -> None:
        """Forget an instance that is gone."""
        self.by_id.pop(instance_id, None)

    def others(self) -> list[member.Member]:
        """Return all other instances."""
        return [
            one
            for one in self.by_id.values()
            if one.instance_id != self.own.instance_id
        ]

    def fronts(self, failure_domain: str, region: str) -> list[str]:
        """Return where a caller should connect, near ones only if enough."""
        known = [one for one in self.others() if one.ready]
        if self.own.ready:
            known.append(self.own)
        near = [one for one in known if one.failure_domain == failure_domain]
        if len(near) < FEWEST_NEAR:
            far = [one for one in known if one.failure_domain != failure_domain]
            far.sort(key=lambda one: one.region != region)
            near.extend(far)
        return [one.front for one in near][:ADDRESSES]
