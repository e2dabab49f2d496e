"""Start one entry instance before four engines that each hold one model."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

import msgspec

from emulator import (
    call_outcome,
    caller,
    completion,
    engine_config,
    instance_list_config,
    key_value_config,
    launched,
    launcher,
    stand_in,
    weight_store_config,
)
from oatcrank import ids, rpc
from oatcrank.configuration import profile, target
from oatcrank.membership import instance_list
from oatcrank.settings import (
    listen_settings,
    platform_settings,
    settings,
    weight_store_settings,
)
from oatcrank.store import weight_store

POOL = ids.PoolName('relay')
PROFILE = ids.ProfileName('relay')
DOMAIN = ids.FailureDomain('one')
ENGINES = 4
SLOTS = 420
TOKENS_PER_S = 23
ENGINE_MB = 100
# More than half an engine, so that each holds one model.
MODEL_MB = 60
WHOLE_ANSWER_MS = 60_000
CALL_TIMEOUT_S = 30.0
START_TIMEOUT_S = 60.0
REPEAT_S = 0.2


def model_of(number: int) -> ids.ModelName:
    """Return the model that one reader asks for."""
    return ids.ModelName(f'model-{number}')


class RelaySite:
    """Hold the processes of the benchmark."""

    def __init__(
        self,
        started_by: launcher.Launcher,
        directory: pathlib.Path,
    ) -> None:
        """Start nothing yet."""
        self.engines: list[launched.Launched] = []
        self.entry: launched.Launched
        self._launcher = started_by
        self._directory = directory
        self._rpc = rpc.Rpc()

    async def start(self) -> None:
        """Start everything and have every model loaded where it is asked."""
        key_value = await self._launcher.stand_in(
            'key-value',
            key_value_config.KeyValueConfig(),
        )
        store = await self._launcher.stand_in('weight-store', _store())
        for number in range(ENGINES):
            config = _engine(number, store.address)
            self.engines.append(
                await self._launcher.stand_in('engine', config),
            )
        listing = await self._launcher.stand_in(
            'instance-list',
            instance_list_config.InstanceListConfig(instances=self._listed()),
        )
        chosen = _settings(key_value, listing, store)
        path = self._directory / 'entry.json'
        path.write_bytes(msgspec.json.encode(chosen))
        self.entry = await self._launcher.entry(path)
        await _repeat(self._create_profile)
        await asyncio.gather(*(self._load(one) for one in range(ENGINES)))
        await self._order_engines()

    def _listed(self) -> tuple[instance_list.Instance, ...]:
        return tuple(
            instance_list.Instance(
                instance_id=f'engine-{number}',
                kind=instance_list.Kind.engine,
                address=engine.address,
                failure_domain=DOMAIN,
                pool=POOL,
            )
            for number, engine in enumerate(self.engines)
        )

    async def _create_profile(self) -> bool:
        wanted = profile.Profile(
            name=PROFILE,
            models=tuple(model_of(number) for number in range(ENGINES)),
            targets=target.Targets(
                first_token_ms=1000,
                between_tokens_ms=1000 / TOKENS_PER_S,
                whole_answer_ms=WHOLE_ANSWER_MS,
            ),
        )
        body = msgspec.json.encode({'who': 'benchmark', 'profile': wanted})
        try:
            await self._rpc.fetch(
                self.entry.address,
                'POST',
                '/v1/profiles',
                body,
                timeout_s=CALL_TIMEOUT_S,
            )
        except rpc.RpcStatusError:
            return False
        return True

    async def _load(self, number: int) -> None:
        asked = completion.Completion(
            model=model_of(number),
            prompt='load',
            max_tokens=1,
            stream=True,
        )
        sender = caller.Caller(self._rpc, (self.entry.address,), PROFILE)

        async def answered() -> bool:
            found = await sender.complete(asked)
            return found.outcome is call_outcome.Outcome.answered

        await _repeat(answered)

    async def _order_engines(self) -> None:
        """Put the engine that holds model n at place n."""
        place_by_model = {model_of(place): place for place in range(ENGINES)}
        ordered = list(self.engines)
        for engine in self.engines:
            text = await self._rpc.fetch(
                engine.address,
                'GET',
                '/v1/report',
                None,
                timeout_s=CALL_TIMEOUT_S,
            )
            for held in msgspec.json.decode(text)['held']:
                ordered[place_by_model[held['model']]] = engine
        self.engines = ordered


async def _repeat(attempt: Callable[[], Awaitable[bool]]) -> None:
    """Attempt until it succeeds; raises TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        succeeded = await attempt()
        while not succeeded:
            await asyncio.sleep(REPEAT_S)
            succeeded = await attempt()


def _store() -> weight_store_config.WeightStoreConfig:
    return weight_store_config.WeightStoreConfig(
        loads_per_s=ENGINES,
        concurrent=ENGINES,
        model_load_s=1,
        adapters_in_transit=1,
        adapter_min_ms=1,
        adapter_max_ms=1,
        catalogue=weight_store.Catalogue(
            models=tuple(
                weight_store.ModelWeights(
                    name=model_of(number),
                    pool=POOL,
                    memory_mb=MODEL_MB,
                )
                for number in range(ENGINES)
            ),
        ),
    )


def _engine(number: int, store: str) -> engine_config.EngineConfig:
    return engine_config.EngineConfig(
        server_id=f'engine-{number}',
        pool=POOL,
        weight_store=store,
        memory_mb=ENGINE_MB,
        slots=SLOTS,
        tokens_per_s=TOKENS_PER_S,
        first_token_ms=100,
    )


def _settings(
    key_value: launched.Launched,
    listing: launched.Launched,
    store: launched.Launched,
) -> settings.Settings:
    return settings.Settings(
        instance_id=ids.InstanceId('entry'),
        failure_domain=DOMAIN,
        listen=listen_settings.ListenSettings(
            host=stand_in.HOST,
            port=launcher.free_port(),
        ),
        platform=platform_settings.PlatformSettings(
            key_value=key_value.address,
            instance_list=listing.address,
            weight_store=store.address,
        ),
        weight_store=weight_store_settings.WeightStoreSettings(
            loads_per_s=ENGINES,
            concurrent_loads=ENGINES,
            adapters_in_transit=1,
        ),
    )
