"""Define organisations and what their requests cost."""

import enum

import msgspec

from oatcrank import ids


class QuotaUnit(enum.Enum):
    """What the figures of a quota count."""

    requests = 'requests'
    tokens = 'tokens'


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Units a second and burst, for all instances together.

    plain_cost is what a request costs that doesn't state its tokens.
    """

    unit: QuotaUnit
    per_s: float
    burst: float
    plain_cost: float = 1

    def cost_of(self, tokens: int | None) -> float:
        """Return the units that a request with so many tokens costs."""
        if self.unit is QuotaUnit.requests:
            return 1
        return self.plain_cost if tokens is None else tokens


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """Organisation whose callers share the deployment with others.

    Its priority, if any, goes before that of a route; without a quota its
    requests are not limited.
    """

    name: ids.OrganisationName
    priority: int | None = None
    quota: Quota | None = None
    key_digests: tuple[ids.KeyDigest, ...] = ()
