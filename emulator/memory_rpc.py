"""RPC client for instances in one process, with faults."""

from emulator import faulty_rpc, memory_network


class MemoryRpc(faulty_rpc.FaultyRpc):
    """RPC client over an in-process network instead of TCP."""

    def __init__(self, network: memory_network.MemoryNetwork) -> None:
        """Start without faults."""
        super().__init__()
        self._network = network

    async def deliver(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> bytes:
        """Send the call without further faults."""
        return await self._network.call(
            address,
            path,
            body or b'',
            timeout_s=timeout_s,
        )
