"""Look up the sizes of weights in the store's catalogue."""

from oatcrank import errors, rpc
from oatcrank.store import weight_store

CATALOGUE_TIMEOUT_S = 5


class WeightSizes:
    """Cache of the catalogue that is refreshed for an unknown name."""

    def __init__(self, address: str) -> None:
        """Set the address of the store, as `ip:port`."""
        self._address = address
        self._client = rpc.Rpc()
        self._mb_by_model: dict[str, int] = {}
        self._mb_by_adapter: dict[tuple[str, str], int] = {}

    async def model_mb(self, model: str) -> int | None:
        """Return a model's megabytes, or None if the store lacks it."""
        if model not in self._mb_by_model:
            await self.read()
        return self._mb_by_model.get(model)

    async def adapter_mb(self, model: str, adapter: str) -> int | None:
        """Return an adapter's megabytes, or None if the store lacks it."""
        if (model, adapter) not in self._mb_by_adapter:
            await self.read()
        return self._mb_by_adapter.get((model, adapter))

    async def read(self) -> None:
        """Refresh the catalogue, or keep the last if the store fails."""
        try:
            catalogue = await self._client.get(
                self._address,
                '/v1/catalogue',
                weight_store.Catalogue,
                timeout_s=CATALOGUE_TIMEOUT_S,
            )
        except (errors.PlatformError, rpc.RpcStatusError):
            return
        self._mb_by_model = {
            model.name: model.memory_mb for model in catalogue.models
        }
        self._mb_by_adapter = {
            (adapter.model, adapter.name): adapter.memory_mb
            for adapter in catalogue.adapters
        }
