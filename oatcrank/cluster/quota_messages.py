"""Define the datagrams about the quotas of organisations."""

import msgspec

from oatcrank import ids
from oatcrank.cluster import numbered_reply
from oatcrank.organisations import quota_account, quota_share


class QuotaQuery(msgspec.Struct, frozen=True, tag='quota-query'):
    """Ask the owner of an organisation's quota for units.

    used_alone: units that the sender ever used without an owner.
    for_owner: the receiver is asked because the owner didn't reply.
    """

    number: int
    sender_id: ids.InstanceId
    organisation: ids.OrganisationName
    wanted: quota_account.Wanted
    returned: quota_share.ShareReturn | None = None
    used_alone: float = 0
    for_owner: bool = False


class QuotaReply(numbered_reply.NumberedReply, frozen=True, tag='quota-reply'):
    """Report what was granted; None if the receiver does not own the quota.

    owner_address is the datagram address of the owner that it knows, if any.
    """

    grant: quota_account.Grant | None
    owner_address: str = ''


class QuotaCopy(msgspec.Struct, frozen=True, tag='quota-copy'):
    """Tell the instance that would replace an owner what is left of a quota."""

    sender_id: ids.InstanceId
    organisation: ids.OrganisationName
    level: float


class QuotaCopyReply(msgspec.Struct, frozen=True, tag='quota-copy-reply'):
    """Acknowledge a copy.

    level is what is left by the account of the receiver, if it has granted
    units before it learned of this owner.
    """

    organisation: ids.OrganisationName
    level: float | None
