"""Hold the units that an instance was granted ahead, until their end.

Load pattern: an instance sees the requests of an organisation one by one, and
asks the owner of its quota only for some of them.
"""

import msgspec

from oatcrank.organisations import organisation, quota_account

# Granted units end after this time, when their owner may have been replaced.
SHARE_S = 2.0
# Units are asked ahead for what was used in this time.
USE_WINDOW_S = 1.0
# Share of its even part of a quota that an instance uses which reaches no
# other instance.
SHARE_WITHOUT_OWNER = 0.5


class ShareReturn(msgspec.Struct, frozen=True):
    """Unused units of a share, which is named by the number of its grant."""

    number: int
    units: float


class QuotaShare:
    """Units of one organisation's quota at one instance."""

    def __init__(self, now_s: float) -> None:
        """Start without units."""
        self._number = 0
        self._units = float(0)
        self._ends_s = now_s
        self._used = float(0)
        self._used_s = now_s
        self._alone: quota_account.QuotaAccount | None = None
        self._used_alone = float(0)

    def take(self, cost: float, now_s: float) -> bool:
        """Use units of the share, or return False if there are too few."""
        self._record_use(cost, now_s)
        if now_s >= self._ends_s or self._units < cost:
            return False
        self._units -= cost
        return True

    def age_s(self, now_s: float) -> float:
        """Return how long ago the share was granted."""
        return now_s - (self._ends_s - SHARE_S)

    @property
    def used_alone(self) -> float:
        """Return the units ever used without an owner."""
        return self._used_alone

    @property
    def ahead(self) -> float:
        """Return how many units are to be asked for ahead."""
        return self._used

    def begin(self, number: int, units: float, now_s: float) -> None:
        """Hold newly granted units, instead of all earlier ones."""
        self._number = number
        self._units = units
        self._ends_s = now_s + SHARE_S
        self._alone = None

    def end(self, now_s: float) -> ShareReturn | None:
        """End the share; return what is left of it, or None."""
        unused = self._units
        self._units = 0
        if unused <= 0 or now_s >= self._ends_s:
            return None
        return ShareReturn(self._number, unused)

    def give_back(self, units: float, held_s: float, now_s: float) -> None:
        """Keep the units of a request that took them, but has not run."""
        if held_s >= SHARE_S:
            return
        if now_s >= self._ends_s:
            self._number = 0
            self._units = 0
            self._ends_s = now_s + SHARE_S
        self._units += units

    def take_alone(
        self,
        quota: organisation.Quota,
        wanted: quota_account.Wanted,
        instances: int,
        now_s: float,
        jitter: float,
    ) -> quota_account.Grant:
        """Use the part of a quota of an instance that reaches no owner.

        The jitter, from 0 to 1, spreads the first requests of all instances if
        their parts of the burst are smaller than these.
        """
        part = SHARE_WITHOUT_OWNER / instances
        own = msgspec.structs.replace(
            quota, per_s=quota.per_s * part, burst=quota.burst * part
        )
        if self._alone is None:
            self._alone = quota_account.QuotaAccount(
                now_s,
                level=(
                    own.burst
                    if wanted.cost <= own.burst
                    else -jitter * wanted.cost
                ),
            )
        grant = self._alone.grant(own, wanted, 1, now_s)
        if grant.granted:
            self._used_alone += wanted.cost
        return grant

    def _record_use(self, cost: float, now_s: float) -> None:
        """Add a request to the use of the last USE_WINDOW_S."""
        passed_s = max(0, now_s - self._used_s)
        self._used *= max(0, 1 - passed_s / USE_WINDOW_S)
        self._used += cost
        self._used_s = now_s
