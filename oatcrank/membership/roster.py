"""Track the known members and which of them are in the own cell."""

from oatcrank import clock, decoding, ids
from oatcrank.membership import (
    cells,
    documents,
    failure_detector,
    instance_list,
    member,
)

MEMBER_PREFIX = 'member/'
LIST_MAX_AGE_S = 10.0
FORGET_AFTER_S = 60.0

Instances = tuple[instance_list.Instance, ...]


class Roster:
    """Merge the platform's instance list with the members' documents."""

    def __init__(
        self,
        own_id: ids.InstanceId,
        *,
        instance_list: instance_list.InstanceList,
        documents: documents.Documents,
        detector: failure_detector.FailureDetector,
        cell_size: int,
        clock: clock.Clock,
    ) -> None:
        """Track the members other than the own instance."""
        self._own_id = own_id
        self._instance_list = instance_list
        self._documents = documents
        self._detector = detector
        self._cell_size = cell_size
        self._clock = clock
        self._listed: Instances = ()
        self._listed_s = float('-inf')

    async def read_list(self) -> None:
        """Read the platform's list; raises errors.Unavailable."""
        instances = await self._instance_list.read()
        self._listed = tuple(
            instance
            for instance in instances
            if instance.kind is instance_list.Kind.entry
        )
        self._listed_s = self._clock.now()
        self._forget_stopped()

    def known_members(self) -> tuple[member.Member, ...]:
        """Return every member that has a document."""
        return tuple(
            decoding.from_json(document.text, expected=member.Member)
            for document in self._documents.with_prefix(MEMBER_PREFIX)
        )

    def alive(self) -> tuple[member.Member, ...]:
        """Return the other members considered alive.

        Uses heartbeats within the cell and the platform's list outside.
        """
        outside_ids = self._outside_ids()
        return tuple(
            other
            for other in self.known_members()
            if other.instance_id != self._own_id
            and (
                other.instance_id in outside_ids
                or self._detector.is_alive(other.instance_id)
            )
        )

    def is_only_instance(self) -> bool:
        """Return whether the platform lists no other entry instance."""
        age_s = self._clock.now() - self._listed_s
        others = [
            listed
            for listed in self._listed
            if listed.instance_id != self._own_id
        ]
        return age_s <= LIST_MAX_AGE_S and not others

    def cell_addresses(self) -> list[str]:
        """Return the addresses of the other members inside the cell."""
        return self._addresses(inside=True)

    def outside_addresses(self) -> list[str]:
        """Return the addresses of the other members outside the cell."""
        return self._addresses(inside=False)

    def _addresses(self, *, inside: bool) -> list[str]:
        outside_ids = self._outside_ids()
        address_by_id = {
            str(listed.instance_id): listed.address for listed in self._listed
        }
        for other in self.known_members():
            address_by_id[other.instance_id] = other.address
        address_by_id.pop(self._own_id, None)
        return [
            address_by_id[instance_id]
            for instance_id in sorted(address_by_id)
            if (instance_id not in outside_ids) is inside
        ]

    def _outside_ids(self) -> frozenset[str]:
        """Return the listed instances of other cells."""
        cell = cells.cell_of(
            self._own_id,
            self._listed,
            cell_size=self._cell_size,
        )
        return frozenset(listed.instance_id for listed in self._listed) - cell

    def _forget_stopped(self) -> None:
        listed_ids = {listed.instance_id for listed in self._listed}
        for other in self.known_members():
            instance_id = other.instance_id
            if instance_id in listed_ids or instance_id == self._own_id:
                continue
            if self._detector.silent_s(instance_id) > FORGET_AFTER_S:
                self._documents.forget(f'{MEMBER_PREFIX}{instance_id}')
