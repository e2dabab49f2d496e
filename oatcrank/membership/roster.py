"""Know which members there are, and which of them are near."""

import msgspec

from oatcrank import clock, ids
from oatcrank.membership import (
    cells,
    documents,
    failure_detector,
    instance_list,
    member,
)

MEMBER_PREFIX = 'member/'
LIST_TRUSTED_S = 10.0
FORGET_AFTER_S = 60.0


class Roster:
    """Join the platform's lagging list with what the members say."""

    def __init__(
        self,
        own: ids.InstanceId,
        *,
        listing: instance_list.InstanceList,
        shared: documents.Documents,
        detector: failure_detector.FailureDetector,
        cell_size: int,
        time: clock.Clock,
    ) -> None:
        """See the members as one of them does."""
        self._own = own
        self._listing = listing
        self._documents = shared
        self._detector = detector
        self._cell_size = cell_size
        self._time = time
        self._listed: tuple[instance_list.Instance, ...] = ()
        self._listed_s = float('-inf')

    async def read_list(self) -> None:
        """Read the platform's list; raises errors.Unavailable."""
        found = await self._listing.read()
        self._listed = tuple(
            one for one in found if one.kind is instance_list.Kind.entry
        )
        self._listed_s = self._time.now()
        self._forget_gone()

    def known(self) -> tuple[member.Member, ...]:
        """Return every member that there is a document of."""
        return tuple(
            msgspec.json.decode(found.text, type=member.Member)
            for found in self._documents.named(MEMBER_PREFIX)
        )

    def alive(self) -> tuple[member.Member, ...]:
        """Return the others believed alive.

        Beats tell it inside the cell, the platform's list outside.
        """
        outside = self._outside()
        return tuple(
            found
            for found in self.known()
            if found.instance_id != self._own
            and (
                found.instance_id in outside
                or self._detector.is_alive(found.instance_id)
            )
        )

    def known_alone(self) -> bool:
        """Say whether the platform lists no other entry instance."""
        age_s = self._time.now() - self._listed_s
        others = [one for one in self._listed if one.instance_id != self._own]
        return age_s <= LIST_TRUSTED_S and not others

    def near(self) -> list[str]:
        """Return the addresses of the others inside the cell."""
        outside = self._outside()
        return self._addresses(inside=True, outside=outside)

    def far(self) -> list[str]:
        """Return the addresses of the others outside the cell."""
        outside = self._outside()
        return self._addresses(inside=False, outside=outside)

    def _addresses(self, *, inside: bool, outside: frozenset[str]) -> list[str]:
        address_by_id = {
            str(one.instance_id): one.address for one in self._listed
        }
        for found in self.known():
            address_by_id[found.instance_id] = found.address
        address_by_id.pop(self._own, None)
        return [
            address_by_id[name]
            for name in sorted(address_by_id)
            if (name not in outside) is inside
        ]

    def _outside(self) -> frozenset[str]:
        """Return the listed instances of other cells."""
        cell = cells.cell_of(
            self._own,
            self._listed,
            cell_size=self._cell_size,
        )
        return frozenset(one.instance_id for one in self._listed) - cell

    def _forget_gone(self) -> None:
        listed = {one.instance_id for one in self._listed}
        for found in self.known():
            name = found.instance_id
            if name in listed or name == self._own:
                continue
            if self._detector.silent_s(name) > FORGET_AFTER_S:
                self._documents.forget(f'{MEMBER_PREFIX}{name}')
