"""Partition the entry instances into cells with frequent exchanges."""

from collections.abc import Iterable

from oatcrank import ids
from oatcrank.membership import instance_list, rendezvous


def cell_of(
    instance_id: ids.InstanceId,
    listed: Iterable[instance_list.Instance],
    *,
    cell_size: int,
) -> frozenset[str]:
    """Return the ids of an instance's cell, including its own.

    Up to cell_size instances are one cell. With more, each cell lies within
    one failure domain.
    """
    instances = tuple(listed)
    if len(instances) <= cell_size:
        return frozenset(instance.instance_id for instance in instances) | {
            instance_id
        }
    domain_by_id = {
        instance.instance_id: instance.failure_domain for instance in instances
    }
    domain = domain_by_id.get(instance_id)
    domain_ids = [
        other_id
        for other_id in domain_by_id
        if domain_by_id[other_id] == domain
    ]
    # Cells are half full on average, since hashing distributes unevenly. The
    # count doubles, so that it changes rarely as instances come and go.
    count = 1
    while len(domain_ids) > count * cell_size // 2:
        count *= 2
    cells = [str(index) for index in range(count)]
    own_cell = rendezvous.ranked(instance_id, cells)[0]
    return frozenset(
        other_id
        for other_id in domain_ids
        if rendezvous.ranked(other_id, cells)[0] == own_cell
    ) | {instance_id}
