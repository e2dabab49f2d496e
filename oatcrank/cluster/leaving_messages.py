"""Define the datagrams about servers that leave."""

import msgspec

from oatcrank.routing import server_process


class LeavingNotice(msgspec.Struct, frozen=True, tag='leaving'):
    """Report that a server has said in an answer that it leaves."""

    leaving: server_process.RegisteredProcess
