"""Define the base of replies by datagram."""

import msgspec


class NumberedReply(msgspec.Struct, frozen=True):
    """Reply to the query with the same number."""

    number: int
