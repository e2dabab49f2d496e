"""Run a small site of real processes for the proofs."""

import asyncio
import collections
import json
import pathlib
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence

import msgspec
import ports

from emulator import (
    call_outcome,
    caller,
    completion_request,
    engine_config,
    instance_list_config,
    key_value_config,
    launched_process,
    launcher,
    ledger,
    ledger_entry,
    plain_service_config,
    poll,
    site,
    site_configs,
    site_pool,
    stand_in,
    weight_store_config,
)
from oatcrank import ids, rpc
from oatcrank.configuration import operator_messages, profile, target
from oatcrank.membership import instance_list
from oatcrank.settings import (
    limits_settings,
    listen_settings,
    platform_settings,
)
from oatcrank.store import weight_store

HANG_TIMEOUT_S = 100
TIMEOUT_S = 10
ENTRY_COUNT = 3
SLOTS = 16
MODELS = ('m-one', 'm-two')
ADAPTER = 'a-one'
DOMAINS = ('d-a', 'd-b', 'd-c')
SERVICE = 'till'
POOL = site_pool.SitePool(name='p', engines=3, models=MODELS, service=SERVICE)
SITE = site.Site(
    name='proof',
    title='Proof',
    region='r',
    failure_domains=DOMAINS,
    pools=(POOL,),
    adapter_names=(),
    store=site.WeightStoreLimits(
        loads_per_s=50,
        concurrent=10,
        adapters_in_transit=10,
        adapter_min_ms=1,
        adapter_max_ms=2,
    ),
    profiles=(),
    accelerator_weight=0.01,
    move_weight=1,
)
CATALOGUE = weight_store.Catalogue(
    models=tuple(
        weight_store.ModelWeights(name=name, pool='p', memory_mb=1000)
        for name in MODELS
    ),
    adapters=(
        weight_store.AdapterWeights(
            name=ADAPTER, model=MODELS[0], memory_mb=10
        ),
    ),
)


def profile_of(
    name: str,
    *,
    at_most_once: bool = False,
    whole_ms: int = 30_000,
) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(name),
        models=MODELS,
        adapters=(ADAPTER,),
        services=(SERVICE,),
        targets=target.Targets(
            first_token_ms=2000, between_tokens_ms=100, whole_answer_ms=whole_ms
        ),
        at_most_once=at_most_once,
    )


PROFILES = (
    profile_of('talk'),
    profile_of('hasty', whole_ms=1500),
    profile_of('once', at_most_once=True),
)


class FixedAddressCache:
    """Address cache with fixed addresses."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = addresses

    async def read(self) -> tuple[str, ...]:
        return self.addresses

    def invalidate(self) -> None:
        """Keep the addresses."""


class ProofSite:
    """Site of real processes, which the launcher ends."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        directory: pathlib.Path,
        *,
        domains: Sequence[str] = DOMAINS,
        services: int = 2,
        queue_limit: int = 64,
        limits: limits_settings.LimitsSettings | None = None,
    ) -> None:
        self.client = rpc.Rpc()
        self.launcher = process_launcher
        self.engines: list[launched_process.LaunchedProcess] = []
        self.services: list[launched_process.LaunchedProcess] = []
        self.entries: list[launched_process.LaunchedProcess] = []
        self.domains = domains
        self.ledger_of_killed: list[ledger_entry.LedgerEntry] = []
        self._limits = limits or limits_settings.LimitsSettings(
            address_keep_s=2
        )
        self._queue_limit = queue_limit
        self._service_count = services
        self._directory = directory

    @property
    def addresses(self) -> tuple[str, ...]:
        return tuple(entry.address for entry in self.entries)

    async def start(self) -> None:
        self.key_value = await self.launcher.start_stand_in(
            'key-value',
            key_value_config.KeyValueConfig(
                writes_per_s=400, reads_per_s=2000, answer_ms=2
            ),
        )
        limits = msgspec.to_builtins(site_configs.weight_store_of(SITE))
        limits['catalogue'] = CATALOGUE
        self.weight_store = await self.launcher.start_stand_in(
            'weight-store', weight_store_config.WeightStoreConfig(**limits)
        )
        numbers = range(len(self.domains))
        self.engines = await asyncio.gather(*map(self.engine, numbers))
        self.services = await asyncio.gather(
            *map(self.service, range(self._service_count))
        )
        entry_ports = [ports.free_port() for _ in range(ENTRY_COUNT)]
        self.listed = self._listed(entry_ports)
        self.instance_list = await self.launcher.start_stand_in(
            'instance-list',
            instance_list_config.InstanceListConfig(
                lag_s=0, instances=tuple(self.listed)
            ),
        )
        files = [
            self._settings(*pair) for pair in enumerate(entry_ports, start=1)
        ]
        self.files = files
        self.entries = await asyncio.gather(
            *map(self.launcher.start_entry, files)
        )
        await self._create_profiles()
        await asyncio.gather(*map(self._warm, self.addresses))

    async def engine(
        self,
        number: int,
        port: int | None = None,
    ) -> launched_process.LaunchedProcess:
        config = engine_config.EngineConfig(
            server_id=f'engine-{number}',
            pool='p',
            weight_store=self.weight_store.address,
            memory_mb=10_000,
            slots=SLOTS,
            tokens_per_s=100,
            first_token_ms=20,
            queue_limit=self._queue_limit,
        )
        return await self.launcher.start_stand_in(
            'engine',
            config,
            port=port or ports.free_port(),
            name=config.server_id,
        )

    async def service(
        self, number: int, port: int = 0
    ) -> launched_process.LaunchedProcess:
        config = plain_service_config.PlainServiceConfig(
            server_id=f'till-{number}', service=SERVICE, delay_s=0.02
        )
        return await self.launcher.start_stand_in(
            'plain-service', config, port=port, name=config.server_id
        )

    def caller(self, name: str, *addresses: str) -> caller.Caller:
        """Return a caller that uses discovered addresses or the given ones."""
        new_caller = caller.Caller(self.client, self.addresses, name)
        if addresses:
            new_caller.address_cache = FixedAddressCache(*addresses)
        return new_caller

    async def faults(
        self, process: launched_process.LaunchedProcess, **faults: object
    ) -> None:
        await self.client.fetch(
            process.address,
            'POST',
            '/control/faults',
            json.dumps(faults).encode(),
            timeout_s=TIMEOUT_S,
        )

    async def ledger(
        self,
        *processes: launched_process.LaunchedProcess,
    ) -> list[ledger_entry.LedgerEntry]:
        pages = await asyncio.gather(
            *(
                self.client.get(
                    process.address,
                    '/control/ledger',
                    ledger.LedgerPage,
                    timeout_s=TIMEOUT_S,
                )
                for process in processes
                if process.is_running
            )
        )
        return [entry for page in pages for entry in page.entries]

    async def wait_for_first_run(
        self, *processes: launched_process.LaunchedProcess
    ) -> None:
        """Wait until one of the processes has run or runs a request."""
        while not await self.ledger(*processes):
            await asyncio.sleep(poll.POLL_INTERVAL_S)

    async def remove_from_list(
        self, processes: Iterable[launched_process.LaunchedProcess]
    ) -> None:
        """Remove processes from the instance list, as the platform does."""
        names = {process.name for process in processes}
        listed = [
            instance
            for instance in self.listed
            if instance.instance_id not in names
        ]
        await self.client.fetch(
            self.instance_list.address,
            'POST',
            '/control/instances',
            msgspec.json.encode({'instances': listed}),
            timeout_s=TIMEOUT_S,
        )

    async def status(self, address: str) -> operator_messages.Status:
        return await self.client.get(
            address,
            '/v1/status',
            operator_messages.Status,
            timeout_s=TIMEOUT_S,
        )

    async def wait_until_idle(self) -> None:
        """Wait until no entry instance runs a request."""
        for address in self.addresses:
            while (await self.status(address)).sections['running']:
                await asyncio.sleep(poll.POLL_INTERVAL_S)

    async def _create_profiles(self) -> None:
        for new_profile in PROFILES:
            await self.client.post(
                self.addresses[0],
                '/v1/profiles',
                operator_messages.ChangeRequest(
                    who='proof', profile=new_profile
                ),
                msgspec.Raw,
                timeout_s=TIMEOUT_S,
            )
        for address in self.addresses:
            while not await self._is_up_to_date(address):
                await asyncio.sleep(poll.POLL_INTERVAL_S)

    async def _is_up_to_date(self, address: str) -> bool:
        status = await self.status(address)
        has_all_members = len(status.members) >= ENTRY_COUNT - 1
        return has_all_members and status.newest_change >= len(PROFILES)

    async def _warm(self, address: str) -> None:
        sender = self.caller('talk', address)
        for model in MODELS:
            request = new_completion(model, 'warm', tokens=1)
            while (await sender.complete(request)).outcome is not ANSWERED:
                await asyncio.sleep(poll.POLL_INTERVAL_S)

    def _listed(
        self, entry_ports: Iterable[int]
    ) -> list[instance_list.Instance]:
        listed = []
        for engine, domain in zip(self.engines, self.domains, strict=True):
            listed.append(_instance(engine, 'engine', domain, 'p'))
        for number, service in enumerate(self.services):
            service_domain = DOMAINS[number % len(DOMAINS)]
            listed.append(
                _instance(service, 'service', service_domain, SERVICE)
            )
        for number, port in enumerate(entry_ports, start=1):
            listed.append(
                instance_list.Instance(
                    instance_id=f'entry-{number}',
                    kind=instance_list.Kind.entry,
                    address=f'{stand_in.HOST}:{port}',
                    failure_domain=DOMAINS[number - 1],
                )
            )
        return listed

    def _settings(self, number: int, port: int) -> pathlib.Path:
        base_settings = site_configs.entry_of(
            SITE,
            number,
            listen_settings.ListenSettings(host=stand_in.HOST, port=port),
            platform_settings.PlatformSettings(
                key_value=self.key_value.address,
                instance_list=self.instance_list.address,
                weight_store=self.weight_store.address,
            ),
        )
        own_settings = msgspec.structs.replace(
            base_settings, limits=self._limits
        )
        path = self._directory / f'entry-{number}.json'
        path.write_bytes(msgspec.json.encode(own_settings))
        return path


ANSWERED = call_outcome.Outcome.answered
Scenario = Callable[[ProofSite], Awaitable[None]]


def run(directory: pathlib.Path, scenario: Scenario, **options: object) -> None:
    """Run a scenario on a started site; the timeout only catches hangs."""

    async def start_and_run() -> None:
        async with (
            asyncio.timeout(HANG_TIMEOUT_S),
            launcher.Launcher(directory) as site_launcher,
        ):
            started = ProofSite(site_launcher, directory, **options)
            await started.start()
            await scenario(started)
            # Kill them, since a planned stop takes long.
            await asyncio.gather(*(entry.kill() for entry in started.entries))

    asyncio.run(start_and_run())


def new_completion(
    model: str,
    request_id: str,
    *,
    tokens: int = 20,
    prompt: str = '',
    adapter: str = '',
) -> completion_request.CompletionRequest:
    return completion_request.CompletionRequest(
        model=model,
        prompt=prompt or f'prompt of {request_id}',
        max_tokens=tokens,
        stream=True,
        request_id=request_id,
        adapter=adapter,
    )


def print_outcomes(
    title: str, outcomes: Iterable[call_outcome.CallOutcome]
) -> None:
    """Print the outcomes of a scenario's calls (pytest -s)."""
    sys.stdout.write(f'{title}: {count_outcomes(outcomes)}\n')


def count_outcomes(
    outcomes: Iterable[call_outcome.CallOutcome],
) -> dict[str, int]:
    """Count the outcomes, with refusals by code and run state."""
    return dict(collections.Counter(map(_outcome_name, outcomes)))


async def busiest_engine(site: ProofSite) -> launched_process.LaunchedProcess:
    sizes = [len(await site.ledger(engine)) for engine in site.engines]
    return site.engines[sizes.index(max(sizes))]


async def started_request_ids(site: ProofSite) -> set[str]:
    entries = await site.ledger(*site.engines)
    ids = {entry.request_id.split('.')[0] for entry in entries}
    return {request_id for request_id in ids if request_id != 'warm'}


def _outcome_name(result: call_outcome.CallOutcome) -> str:
    if result.refused is None:
        return result.outcome.value
    return f'{result.refused.code.value}/{result.refused.run_state.value}'


def _instance(
    process: launched_process.LaunchedProcess,
    kind: str,
    domain: str,
    pool: str,
) -> instance_list.Instance:
    return instance_list.Instance(
        instance_id=process.name,
        kind=instance_list.Kind(kind),
        address=process.address,
        failure_domain=domain,
        pool=pool,
    )
