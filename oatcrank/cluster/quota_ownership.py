"""Hold one organisation's quota at an instance that owns it or may have to.

Load pattern: the owner of a quota that is used up ends, freezes or is cut off,
and the instances disagree for a while on which one replaces it.
"""

import math

from oatcrank.organisations import organisation, quota_account, quota_share

# An instance that was not heard for this time is taken as unreachable.
SILENT_S = 0.25
# A copy is sent at most once in this time.
COPY_INTERVAL_S = 0.1


class QuotaOwnership:
    """Account of one quota, and what other instances say of it."""

    def __init__(self, now_s: float, level: float) -> None:
        """Start with a level, until another instance tells what is left."""
        self.account = quota_account.QuotaAccount(now_s, level)
        self.owner_address = ''
        self._owner_heard_s = -math.inf
        self._copied_s = -math.inf
        # When the first of the copies was sent that had no reply.
        self._unanswered_since_s: float | None = None
        self._asked_s = -math.inf
        self._granted_since_copy = False
        # Whether another instance has told what is left.
        self._is_known = False
        self._used_alone_by_sender: dict[str, float] = {}
        self._ahead_by_sender: dict[str, quota_share.ShareReturn] = {}

    def hears_owner(self, now_s: float) -> bool:
        """Return whether an instance that goes before this one grants now."""
        return now_s - self._owner_heard_s < SILENT_S

    def is_isolated(self, now_s: float) -> bool:
        """Return whether no other instance is heard, though one was told.

        The others have replaced this instance by now.
        """
        since_s = self._unanswered_since_s
        if since_s is None or now_s - self._asked_s < SILENT_S:
            return False
        return now_s - since_s >= SILENT_S

    def record_asked(self, now_s: float) -> None:
        """Record that another instance has asked for units."""
        self._asked_s = now_s

    def grant(
        self,
        quota: organisation.Quota,
        wanted: quota_account.Wanted,
        instances: int,
        now_s: float,
    ) -> quota_account.Grant:
        """Grant units of the account."""
        self._granted_since_copy = True
        return self.account.grant(quota, wanted, instances, now_s)

    def record_ahead(self, sender: str, number: int, units: float) -> None:
        """Record units that an instance was granted ahead."""
        self._ahead_by_sender[sender] = quota_share.ShareReturn(number, units)

    def take_back(
        self, sender: str, returned: quota_share.ShareReturn | None
    ) -> None:
        """Add the unused units of a share, once and no more than granted."""
        known = self._ahead_by_sender.pop(sender, None)
        if known is None or returned is None:
            return
        if known.number == returned.number:
            self.account.give_back(min(known.units, returned.units))

    def record_used_alone(self, sender: str, units: float) -> None:
        """Subtract what an instance has used besides since it last told."""
        known = self._used_alone_by_sender.get(sender, units)
        self._used_alone_by_sender[sender] = units
        self.account.give_back(min(0, known - units))

    def record_owner_copy(
        self,
        quota: organisation.Quota,
        level: float,
        address: str,
        now_s: float,
    ) -> float | None:
        """Follow an owner that goes before this instance.

        Return the level to reply with, if this instance has granted units that
        the owner does not know of.
        """
        self.account.fill(quota, now_s)
        own_level = self.account.level if self._granted_since_copy else None
        self._granted_since_copy = False
        self._owner_heard_s = now_s
        self.owner_address = address
        self._is_known = True
        self.account = quota_account.QuotaAccount(now_s, level)
        return own_level

    def record_copy_reply(self, level: float | None, now_s: float) -> None:
        """Take over what an instance granted that this one replaces."""
        self._unanswered_since_s = None
        if level is None:
            return
        if self._is_known:
            level = min(level, self.account.level)
        self._is_known = True
        self.account = quota_account.QuotaAccount(now_s, level)

    def level_to_copy(self, now_s: float) -> float | None:
        """Return the level if a copy is due, or None."""
        if now_s - self._copied_s < COPY_INTERVAL_S:
            return None
        self._copied_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        return self.account.level
