"""Run a small site whose processes can be made to fail."""

import asyncio
import contextlib
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from emulator import (
    call_outcome,
    caller,
    completion_request,
    cut_relay,
    engine_config,
    launched_process,
    launcher,
    ledger,
    listing,
    memory_handler,
    running_site,
    site,
    site_configs,
    site_pool,
    sites,
)
from oatcrank import errors, ids, rpc
from oatcrank.configuration import (
    operator_messages,
    profile,
    profile_state,
    target,
)
from oatcrank.membership import instance_list
from oatcrank.settings import control_settings, settings

HANG_TIMEOUT_S = 90
CALL_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.1
MODELS = tuple(ids.ModelName(f'draft-{number}') for number in range(1, 6))
SERVICE = ids.ServiceName('bookings')
CONTROL = control_settings.ControlSettings(
    lease_term_ms=1500, delivery_delay_ms=3000, report_lag_ms=500
)
POOL = site_pool.SitePool(
    name=ids.PoolName('wordbay'), engines=2, models=MODELS, service=SERVICE
)


def new_profile(
    name: str = 'drafts',
    *,
    adapters: int = 0,
    first_token_ms: int = 30_000,
    models: tuple[ids.ModelName, ...] = MODELS,
) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(name),
        models=models,
        adapters=adapter_names()[:adapters],
        services=(SERVICE,),
        targets=target.Targets(
            first_token_ms=first_token_ms,
            between_tokens_ms=1000,
            whole_answer_ms=60_000,
        ),
    )


def adapter_names() -> tuple[ids.AdapterName, ...]:
    return tuple(ids.AdapterName(f'member-{number}') for number in range(10))


SITE = msgspec.structs.replace(
    sites.SITE_BY_NAME['yard'],
    pools=(POOL,),
    adapter_names=adapter_names(),
    profiles=(new_profile(),),
    store=site.WeightStoreLimits(
        loads_per_s=4,
        concurrent=2,
        adapters_in_transit=10,
        adapter_min_ms=5,
        adapter_max_ms=10,
    ),
)


class SmallSite(running_site.RunningSite):
    """Site with one pool and three entry instances."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        directory: pathlib.Path,
        *,
        checks_fencing: bool = True,
        is_relayed: bool = False,
        pools: tuple[site_pool.SitePool, ...] = (POOL,),
    ) -> None:
        adapted_site = msgspec.structs.replace(SITE, pools=pools)
        super().__init__(process_launcher, adapted_site, directory)
        self.attempt_timeout_s: float = HANG_TIMEOUT_S
        self.relays: list[cut_relay.CutRelay] = []
        self._is_relayed = is_relayed
        self.client = rpc.Rpc()
        self.checks_fencing = checks_fencing
        self.ports = [launcher.free_port() for _ in range(3)]
        self.profile = new_profile()
        self._config_by_id: dict[str, engine_config.EngineConfig] = {}

    async def start(self) -> None:
        await self.start_platform_and_servers(self.ports)
        for _ in self.ports if self._is_relayed else ():
            relay = cut_relay.CutRelay(self.key_value.address)
            await relay.start()
            self.relays.append(relay)
        await self.start_entries(self.ports)
        await self.ask(
            self.entries[0].address,
            'POST',
            '/v1/profiles',
            operator_messages.ChangeRequest(who='test', profile=self.profile),
        )

    async def end(self) -> None:
        """Kill the entry instances, since a planned stop takes long."""
        await asyncio.gather(*(entry.kill() for entry in self.entries))
        for relay in self.relays:
            relay.close()
        self.client.close()

    async def ask(
        self,
        address: str,
        method: str,
        path: str,
        message: msgspec.Struct | dict[str, Any] | None = None,
        answer_type: Any = Any,
    ) -> Any:
        body = None if message is None else msgspec.json.encode(message)
        text = await self.client.fetch(
            address, method, path, body, timeout_s=CALL_TIMEOUT_S
        )
        return msgspec.json.decode(text, type=answer_type)

    async def fault(
        self, process: launched_process.LaunchedProcess, **faults: Any
    ) -> None:
        await self.ask(process.address, 'POST', '/control/faults', faults)

    async def status(self, number: int) -> operator_messages.Status:
        return await self.ask(
            self.entries[number].address,
            'GET',
            '/v1/status',
            answer_type=operator_messages.Status,
        )

    async def runs(
        self, process: launched_process.LaunchedProcess
    ) -> list[Any]:
        page = await self.ask(
            process.address,
            'GET',
            '/control/ledger',
            answer_type=ledger.LedgerPage,
        )
        return page.entries

    async def excess(self) -> list[Any]:
        return sum([page.excess for page in await self.memory()], [])

    async def used_mb(self) -> int:
        return sum(page.used_mb for page in await self.memory())

    async def memory(self) -> list[memory_handler.MemoryPage]:
        return [
            await self.ask(
                engine.address,
                'GET',
                '/control/memory',
                answer_type=memory_handler.MemoryPage,
            )
            for engine in self.engine_by_id.values()
        ]

    async def controller(self) -> int:
        """Return the number of the entry instance that controls the pool."""
        while True:
            for number, entry in enumerate(self.entries):
                if entry.is_running and await self._controls(number):
                    return number
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _controls(self, number: int) -> bool:
        try:
            return bool((await self.status(number)).sections['controls'])
        except errors.PlatformError:
            return False

    async def complete(
        self, model: str, *, tokens: int = 4, adapter: str = ''
    ) -> call_outcome.CallOutcome:
        """Send a completion and retry until it is answered."""
        addresses = tuple(
            entry.address for entry in self.entries if entry.is_running
        )
        sender = caller.Caller(self.client, addresses, self.profile.name)
        request = completion_request.CompletionRequest(
            model=model,
            adapter=adapter,
            prompt='when does the van come?',
            max_tokens=tokens,
            stream=True,
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            result = await self._attempt(sender, request)
            while result.outcome is not call_outcome.Outcome.answered:
                assert result.outcome is not call_outcome.Outcome.wrong, result
                pause_s = result.refused and result.refused.retry_after_s
                await asyncio.sleep(pause_s or POLL_INTERVAL_S)
                result = await self._attempt(sender, request)
        return result

    async def _attempt(
        self,
        sender: caller.Caller,
        request: completion_request.CompletionRequest,
    ) -> call_outcome.CallOutcome:
        try:
            async with asyncio.timeout(self.attempt_timeout_s):
                return await sender.complete(request)
        except TimeoutError:
            # The entry instance may be frozen, so choose another address.
            sender.address_cache.invalidate()
            return call_outcome.CallOutcome(
                outcome=call_outcome.Outcome.unreachable
            )

    async def set_listed_state(
        self, server_id: str, state: instance_list.State
    ) -> None:
        self._listed_instances = [
            msgspec.structs.replace(instance, state=state)
            if instance.instance_id == server_id
            else instance
            for instance in self._listed_instances
        ]
        await self.ask(
            self.instance_list.address,
            'POST',
            '/control/instances',
            listing.Listing(instances=tuple(self._listed_instances)),
        )

    async def complete_all(self, *models: str, adapters: int = 0) -> None:
        """Request all models concurrently, and some adapters."""
        asks = [self.complete(model) for model in models or MODELS]
        asks.extend(
            self.complete(MODELS[number % len(MODELS)], adapter=adapter)
            for number, adapter in enumerate(adapter_names()[:adapters])
        )
        await asyncio.gather(*asks)

    async def change(self, profile: profile.Profile) -> None:
        """Change the profile through the first entry instance."""
        address = self.entries[0].address
        path = f'/v1/profiles/{profile.name}'
        state = await self.ask(
            address, 'GET', path, answer_type=profile_state.ProfileState
        )
        request = operator_messages.ChangeRequest(
            who='test', profile=profile, based_on=state.revision
        )
        await self.ask(address, 'PUT', path, request)

    async def restart_engine(self, server_id: str) -> None:
        """Kill an engine and start it again without loaded models."""
        engine = self.engine_by_id[server_id]
        await engine.kill()
        self.engine_by_id[server_id] = await self._launcher.start_stand_in(
            'engine',
            self._config_by_id[server_id],
            port=int(engine.address.split(':')[1]),
            name=server_id,
        )

    async def restart_entry(self, number: int) -> None:
        """Kill an entry instance and start it again without state."""
        await self.entries[number].kill()
        path = self._write_settings(number + 1, self.ports[number])
        self.entries[number] = await self._launcher.start_entry(path)

    async def _start_pool(self, pool: site_pool.SitePool) -> None:
        for base_config in site_configs.engines_of(
            pool, self.weight_store.address
        ):
            config = msgspec.structs.replace(
                base_config, checks_fencing=self.checks_fencing
            )
            engine = await self._launcher.start_stand_in(
                'engine', config, name=config.server_id
            )
            self._config_by_id[engine.name] = config
            self.engine_by_id[engine.name] = engine
            self._add_listed(engine, instance_list.Kind.engine, pool.name)
            self._listed_instances[-1] = msgspec.structs.replace(
                self._listed_instances[-1], checks_fencing=self.checks_fencing
            )
        service = site_configs.service_of(pool)
        process = await self._launcher.start_stand_in(
            'plain-service', service, name=service.server_id
        )
        self.service_by_name[pool.service] = process
        self._add_listed(process, instance_list.Kind.service, pool.service)

    def _entry_settings(
        self, number: int, port: int, list_address: str
    ) -> settings.Settings:
        base_settings = super()._entry_settings(number, port, list_address)
        platform = base_settings.platform
        if self.relays:
            relay = self.relays[number - 1]
            platform = msgspec.structs.replace(
                platform, key_value=relay.address
            )
        return msgspec.structs.replace(
            base_settings, control=CONTROL, platform=platform
        )


@contextlib.asynccontextmanager
async def running(**options: Any) -> AsyncIterator[SmallSite]:
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        async with launcher.Launcher(directory) as started:
            small = SmallSite(started, directory, **options)
            await small.start()
            try:
                yield small
            finally:
                await small.end()


async def eventually(condition: Callable[[], Any]) -> float:
    """Poll until a condition holds; return the elapsed seconds."""
    started = time.monotonic()
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started
