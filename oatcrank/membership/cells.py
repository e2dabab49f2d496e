"""Divide many instances into cells that exchange often."""

from collections.abc import Iterable

from oatcrank import ids
from oatcrank.membership import instance_list, rendezvous


def cell_of(
    instance_id: ids.InstanceId,
    listed: Iterable[instance_list.Instance],
    *,
    cell_size: int,
) -> frozenset[str]:
    """Return the ids of an instance's cell, its own included.

    All are one cell while they fit; beyond, a cell lies in one failure domain.
    """
    known = tuple(listed)
    if len(known) <= cell_size:
        return frozenset(found.instance_id for found in known) | {instance_id}
    domain_by_id = {found.instance_id: found.failure_domain for found in known}
    domain = domain_by_id.get(instance_id)
    names = [name for name in domain_by_id if domain_by_id[name] == domain]
    # Half full on average: the hash spreads unevenly, and few cells move.
    count = 1
    while len(names) > count * cell_size // 2:
        count *= 2
    cells = [str(index) for index in range(count)]
    own = rendezvous.ranked(instance_id, cells)[0]
    return frozenset(
        name for name in names if rendezvous.ranked(name, cells)[0] == own
    ) | {instance_id}
