"""Define the reply to a controller that has taken over."""

import msgspec

from oatcrank import ids


class SupersededReply(msgspec.Struct, frozen=True):
    """Identify the replying process; stopped: it can send no more orders."""

    instance_id: ids.InstanceId
    incarnation: int
    stopped: bool
