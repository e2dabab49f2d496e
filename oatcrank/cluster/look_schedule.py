"""Choose which instance to ask whether it knows more of the store."""

import itertools

from oatcrank.cluster import member, members, relay_choice


class LookSchedule:
    """Ask the checker of the store and the relays of all domains by turns.

    The watch of a single instance, also of the checker, may be dead.
    """

    def __init__(self, members: members.Members) -> None:
        """Choose among the members."""
        self._members = members
        self._turns = itertools.count()
        self._relay_turns = itertools.count()

    def is_checker(self) -> bool:
        """Return whether this instance checks the store for all.

        One that is not ready and knows no other does, too.
        """
        checker = self._checker()
        own = self._members.own
        return checker is None or checker.instance_id == own.instance_id

    def next(self) -> member.Member | None:
        """Return the instance to ask next; None without another one."""
        checker = self._checker()
        if checker is None:
            return None
        is_other = checker.instance_id != self._members.own.instance_id
        if is_other and next(self._turns) % 2 == 0:
            return checker
        return self._next_relay()

    def _next_relay(self) -> member.Member | None:
        own = self._members.own
        others = self._members.others()
        domains = sorted(
            {other.failure_domain for other in others if other.ready}
        )
        if not domains:
            return None
        round_number, position = divmod(next(self._relay_turns), len(domains))
        # Others would have to follow the store, once they are asked.
        relays = [
            relay
            for relay in relay_choice.relays((own, *others), domains[position])
            if relay.instance_id != own.instance_id
        ]
        return relays[round_number % len(relays)]

    def _checker(self) -> member.Member | None:
        return relay_choice.checker(
            (self._members.own, *self._members.others())
        )
