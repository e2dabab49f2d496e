"""Answer a controller that has taken over."""

import msgspec


class DeposedReply(msgspec.Struct, frozen=True):
    """Say whether the earlier controller can send no more orders."""

    stopped: bool
