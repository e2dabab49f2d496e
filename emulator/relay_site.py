"""Site of the relay benchmark: one entry instance, four engines."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

import msgspec

from emulator import (
    call_outcome,
    caller,
    completion_request,
    engine_config,
    instance_list_config,
    key_value_config,
    launched_process,
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
# More than half of an engine's memory, so that each holds one model.
MODEL_MB = 60
WHOLE_ANSWER_MS = 60_000
CALL_TIMEOUT_S = 30.0
START_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.2


def model_of(number: int) -> ids.ModelName:
    """Return the model that a reader requests."""
    return ids.ModelName(f'model-{number}')


class RelaySite:
    """Processes of the benchmark; engine n holds the model of reader n."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        directory: pathlib.Path,
    ) -> None:
        """Start nothing yet."""
        self.engines: list[launched_process.LaunchedProcess] = []
        self.entry: launched_process.LaunchedProcess
        self._launcher = process_launcher
        self._directory = directory
        self._rpc = rpc.Rpc()

    async def start(self) -> None:
        """Start all processes and load every model."""
        key_value = await self._launcher.start_stand_in(
            'key-value',
            key_value_config.KeyValueConfig(),
        )
        store = await self._launcher.start_stand_in('weight-store', _store())
        for number in range(ENGINES):
            config = _engine(number, store.address)
            self.engines.append(
                await self._launcher.start_stand_in('engine', config),
            )
        list_process = await self._launcher.start_stand_in(
            'instance-list',
            instance_list_config.InstanceListConfig(instances=self._listed()),
        )
        entry_settings = _settings(key_value, list_process, store)
        path = self._directory / 'entry.json'
        path.write_bytes(msgspec.json.encode(entry_settings))
        self.entry = await self._launcher.start_entry(path)
        await _retry(self._create_profile)
        await asyncio.gather(
            *(self._load_model(reader) for reader in range(ENGINES))
        )
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
        relay_profile = profile.Profile(
            name=PROFILE,
            models=tuple(model_of(number) for number in range(ENGINES)),
            targets=target.Targets(
                first_token_ms=1000,
                between_tokens_ms=1000 / TOKENS_PER_S,
                whole_answer_ms=WHOLE_ANSWER_MS,
            ),
        )
        body = msgspec.json.encode(
            {'who': 'benchmark', 'profile': relay_profile}
        )
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

    async def _load_model(self, number: int) -> None:
        load_request = completion_request.CompletionRequest(
            model=model_of(number),
            prompt='load',
            max_tokens=1,
            stream=True,
        )
        sender = caller.Caller(self._rpc, (self.entry.address,), PROFILE)

        async def answered() -> bool:
            answer = await sender.complete(load_request)
            return answer.outcome is call_outcome.Outcome.answered

        await _retry(answered)

    async def _order_engines(self) -> None:
        """Sort the engines by the number of the model that they hold."""
        number_by_model = {
            model_of(number): number for number in range(ENGINES)
        }
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
                ordered[number_by_model[held['model']]] = engine
        self.engines = ordered


async def _retry(attempt: Callable[[], Awaitable[bool]]) -> None:
    """Retry until an attempt succeeds; raises TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        succeeded = await attempt()
        while not succeeded:
            await asyncio.sleep(RETRY_INTERVAL_S)
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
    key_value: launched_process.LaunchedProcess,
    list_process: launched_process.LaunchedProcess,
    store: launched_process.LaunchedProcess,
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
            instance_list=list_process.address,
            weight_store=store.address,
        ),
        weight_store=weight_store_settings.WeightStoreSettings(
            loads_per_s=ENGINES,
            concurrent_loads=ENGINES,
            adapters_in_transit=1,
        ),
    )
