"""Hold what is left of an organisation's quota at the instance that owns it.

Load pattern: one organisation sends many times its quota through all instances,
its large and small requests alike.
"""

import msgspec

from oatcrank.organisations import organisation

# While more than this share of the burst is left, units are granted ahead.
AHEAD_ABOVE_LEVEL = 0.6


class Wanted(msgspec.Struct, frozen=True):
    """Units for a request that waits max_wait_s, and for later requests."""

    cost: float
    ahead: float = 0
    max_wait_s: float = 0


class Grant(msgspec.Struct, frozen=True):
    """Whether a request may be sent, after a wait in seconds.

    If it is not granted, wait_s is the time until the next one is.  ahead are
    units for later requests; level is what is left of the quota.
    """

    granted: bool
    wait_s: float = 0
    ahead: float = 0
    level: float = 0


class QuotaAccount:
    """Fill at the rate of a quota up to its burst, and grant units.

    A request is granted once the level is not negative, whatever it costs:
    otherwise small requests would starve large ones.  It may leave a debt that
    delays the requests after it.
    """

    def __init__(self, now_s: float, level: float = 0) -> None:
        """Start with a level, by default without a burst."""
        self.level = level
        self._filled_s = now_s

    def grant(
        self,
        quota: organisation.Quota,
        wanted: Wanted,
        instances: int,
        now_s: float,
    ) -> Grant:
        """Grant the units of a request, or tell when they are free."""
        self.fill(quota, now_s)
        wait_s = max(0, -self.level / quota.per_s)
        if wait_s > wanted.max_wait_s:
            return Grant(granted=False, wait_s=wait_s, level=self.level)
        self.level -= wanted.cost
        spare = self.level - AHEAD_ABOVE_LEVEL * quota.burst
        ahead = max(0, min(wanted.ahead, spare / instances))
        self.level -= ahead
        return Grant(granted=True, wait_s=wait_s, ahead=ahead, level=self.level)

    def give_back(self, units: float) -> None:
        """Take units back that were not used; the next fill caps the level."""
        self.level += units

    def fill(self, quota: organisation.Quota, now_s: float) -> None:
        """Add what has become free since the last time."""
        passed_s = max(0, now_s - self._filled_s)
        self._filled_s = now_s
        self.level = min(quota.burst, self.level + passed_s * quota.per_s)
