"""Limits of the loads of all services during a lease term."""

from oatcrank import ids
from oatcrank.orders import lease_term, store_load_limit
from oatcrank.routing import route


class StoreLoadLimits:
    """A limit for each service, with the loads of the former holder."""

    def __init__(self) -> None:
        """Start without a term."""
        self._ceiling = store_load_limit.Ceiling()
        # Kept when the term ends: a successor asks for the loads afterwards.
        self._newest_term: lease_term.LeaseTerm | None = None
        self._limit_by_service: dict[
            ids.ServiceName,
            store_load_limit.StoreLoadLimit,
        ] = {}

    def apply_ceiling(self, ceiling: store_load_limit.Ceiling) -> None:
        """Apply another ceiling to the loads that are decided from now on."""
        self._ceiling = ceiling
        for limit in self._limit_by_service.values():
            limit.apply_ceiling(ceiling)

    def begin_term(self, term: lease_term.LeaseTerm) -> None:
        """Discard the counts of an earlier term."""
        self._newest_term = term
        self._limit_by_service.clear()

    def of_service(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
    ) -> store_load_limit.StoreLoadLimit:
        """Return the limit of a service."""
        limit = self._limit_by_service.get(service)
        if limit is None:
            limit = store_load_limit.StoreLoadLimit(
                engine.store_loads_per_s, self._ceiling
            )
            term = self._newest_term
            if term is not None:
                limit.add_inherited(
                    term.former_store_loads, term.former_stopped_s
                )
            self._limit_by_service[service] = limit
        return limit

    def counted_loads(
        self, now_s: float
    ) -> store_load_limit.CountedLoads | None:
        """Return what a successor has to count; None if that is not known."""
        counts = [
            limit.counted_loads(now_s)
            for limit in self._limit_by_service.values()
        ]
        if counts:
            return store_load_limit.CountedLoads(
                total=sum(count.total for count in counts),
                open=sum(count.open for count in counts),
            )
        term = self._newest_term
        return (
            store_load_limit.NO_LOADS
            if term is None
            else term.former_store_loads
        )
