"""Define the datagrams about the limits that servers name."""

import msgspec

from oatcrank.cluster import numbered_reply
from oatcrank.routing import limit_schedule, server_process


class Limit(msgspec.Struct, frozen=True):
    """Limit that a server named age_s seconds ago; None if it named none."""

    requests_per_s: float | None
    age_s: float


class LimitNotice(msgspec.Struct, frozen=True, tag='limit'):
    """Report that the limit of a server has begun or ended."""

    process: server_process.ServerProcess
    limit: Limit


class PermitQuery(msgspec.Struct, frozen=True, tag='permit-query'):
    """Ask the owner of a server's limit for a permit to send a request."""

    number: int
    process: server_process.ServerProcess
    limit: Limit
    max_wait_s: float


class PermitReply(
    numbered_reply.NumberedReply, frozen=True, tag='permit-reply'
):
    """Grant or deny the permit of a query, with the limit it is based on."""

    permit: limit_schedule.Permit
    limit: Limit
