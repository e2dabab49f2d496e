"""Define the interface to the quotas that all instances keep together."""

import abc
import enum

import msgspec

from oatcrank.organisations import organisation


class Source(enum.Enum):
    """Who decided on a request's units."""

    unlimited = 'unlimited'
    share = 'share'
    owner = 'owner'
    stand_in = 'stand_in'
    alone = 'alone'


class QuotaDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request is within its organisation's quota.

    If it is granted, it is to be sent after wait_s; otherwise its caller should
    return after that time.  level is what is left of the quota, as it was known
    age_s ago.
    """

    granted: bool
    source: Source
    wait_s: float = 0
    level: float = 0
    age_s: float = 0


class Quotas(abc.ABC):
    """Interface to the quotas of all organisations."""

    @abc.abstractmethod
    async def take(
        self, holder: organisation.Organisation, cost: float
    ) -> QuotaDecision:
        """Take the units of one request."""

    @abc.abstractmethod
    def give_back(
        self,
        holder: organisation.Organisation,
        cost: float,
        held_s: float,
    ) -> None:
        """Give the units back that a request took, since it has not run."""
