"""Define the steps of the demonstration."""

import asyncio
import functools
import pathlib
import sys
import uuid
from collections.abc import Awaitable, Callable

import msgspec

from emulator import (
    call_outcome,
    caller,
    completion_request,
    demo_error,
    launcher,
    ledger,
    running_site,
    service_answer,
)
from oatcrank import refusal, rpc
from oatcrank.configuration import profile
from oatcrank.store import weight_store

CALL_BODY = b'{"gate": 4, "crew": "Half Way Tree"}'
ENTRY_COUNT = 3
ANSWER_TOKENS = 24
RETRY_TIMEOUT_S = 60
DEFAULT_RETRY_DELAY_S = 0.5
TIMEOUT_S = 5
INTRODUCTION = """\
oatcrank serves many models from fewer accelerators.  Callers send requests to
entry instances, which forward them to backend servers: model engines, which
must load a model before they can serve it, and plain services.  An operator
defines in profiles the latency targets and which calls may run at most once.
Here each component runs as its own process on this machine; the engines are
stand-ins that generate artificial answers.
"""
Call = Callable[[], Awaitable[call_outcome.CallOutcome]]


def print_line(text: str) -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


class DemoSteps:
    """Steps of the demonstration on one site."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        demo_site: running_site.RunningSite,
        directory: pathlib.Path,
    ) -> None:
        """Set the processes to use and the directory for files."""
        self._launcher = process_launcher
        self._demo_site = demo_site
        self._directory = directory
        self._client = rpc.Rpc()

    async def start(self) -> None:
        """Start the platform, the backend servers and the entry instances."""
        site = self._demo_site.site
        ports = [launcher.free_port() for _ in range(ENTRY_COUNT)]
        print_line(INTRODUCTION)
        print_line(f'1. Starting {site.title} on this machine.')
        await self._demo_site.start_platform_and_servers(ports)
        for pool in site.pools:
            print_line(
                f'   Pool {pool.name}: {pool.engines} model engines for '
                f'{len(pool.models)} models, none loaded yet, and the plain '
                f'service "{pool.service}".',
            )
        print_line(
            '   Stand-ins emulate the platform: key-value service, instance '
            'list, weight store.',
        )
        await self._demo_site.start_entries(ports)
        for entry, domain in zip(
            self._demo_site.entries, site.failure_domains, strict=True
        ):
            print_line(
                f'   {entry.name} listens on {entry.address} in {domain}.'
            )

    async def create_profiles(self) -> None:
        """Create every profile with the command line tool."""
        print_line('2. An operator sets latency targets by creating profiles.')
        for number, site_profile in enumerate(self._demo_site.site.profiles):
            entry = self._demo_site.entries[number % ENTRY_COUNT]
            await self._create(site_profile, entry.address)

    async def request_completion(self) -> None:
        """Request an answer of a model that no engine has loaded yet."""
        site = self._demo_site.site
        site_profile = site.profiles[0]
        adapter = _adapter_of(site.catalogue(), site_profile)
        request = completion_request.CompletionRequest(
            model=adapter.model,
            adapter=adapter.name,
            prompt='A customer asks: when does the van come?',
            max_tokens=ANSWER_TOKENS,
            stream=True,
        )
        print_line(
            f'3. A caller with profile "{site_profile.name}" requests model '
            f'"{request.model}" with adapter "{request.adapter}".',
        )
        profile_caller = await self._caller(site_profile)
        outcome = await self._retry_until_answered(
            functools.partial(profile_caller.complete, request)
        )
        print_line(
            f'   {outcome.address} streamed {ANSWER_TOKENS} tokens, the first '
            f'after {outcome.first_token_s:.3f} s, all after '
            f'{outcome.whole_s:.3f} s:',
        )
        print_line(f'   "{outcome.text.strip()}"')
        print_line(
            '   The tokens are in order, the digest matches, and the answer '
            'belongs to this request.',
        )
        await self._print_loads(request)

    async def call_service(self) -> None:
        """Make an at-most-once call and send it again."""
        site_profile = self._demo_site.site.profiles[-1]
        service = site_profile.services[0]
        key = uuid.uuid4().hex
        print_line(
            f'4. A caller with profile "{site_profile.name}", which is '
            f'at-most-once, calls the plain service "{service}" with '
            f'idempotency key {key}.',
        )
        profile_caller = await self._caller(site_profile)
        call = functools.partial(
            profile_caller.call_service, service, 'new', CALL_BODY, key=key
        )
        for occasion in ('the first time', 'again, as after a lost answer'):
            outcome = await self._retry_until_answered(call)
            reply = msgspec.json.decode(
                outcome.text, type=service_answer.ServiceAnswer
            )
            if reply.body != CALL_BODY.decode():
                raise demo_error.DemoError(
                    f'answer of another call: {outcome.text}'
                )
            print_line(
                f'   Sent {occasion}: {outcome.address} returns the answer of '
                f'run {reply.run_number} on {reply.server_id}.',
            )
        await self._check_ran_once(service, key)

    async def _create(
        self, site_profile: profile.Profile, address: str
    ) -> None:
        path = self._directory / f'profile-{site_profile.name}.json'
        path.write_bytes(msgspec.json.encode(site_profile))
        command = ['profile', 'create', '--who', 'demo']
        command += ['--address', address, '--file']
        command_result = await self._launcher.run_command(
            ['-m', 'oatcrank', *command, str(path)]
        )
        if command_result.status:
            raise demo_error.DemoError(
                f'creating profile {site_profile.name} failed with status '
                f'{command_result.status}: {command_result.output}',
            )
        once = ', at most once' if site_profile.at_most_once else ''
        print_line(
            f'   Profile "{site_profile.name}": '
            f'{len(site_profile.models)} models, '
            f'{len(site_profile.adapters)} adapters, services '
            f'{list(site_profile.services)}{once}; created through '
            f'{address}.',
        )

    async def _caller(self, site_profile: profile.Profile) -> caller.Caller:
        entry_addresses = tuple(
            entry.address for entry in self._demo_site.entries
        )
        profile_caller = caller.Caller(
            self._client, entry_addresses, site_profile.name
        )
        addresses = await profile_caller.address_cache.read()
        print_line(
            f'   It asks {entry_addresses[0]} for the addresses to use: '
            f'{", ".join(addresses)}.',
        )
        return profile_caller

    async def _retry_until_answered(
        self, call: Call
    ) -> call_outcome.CallOutcome:
        loop = asyncio.get_running_loop()
        end = loop.time() + RETRY_TIMEOUT_S
        while True:
            outcome = await call()
            if outcome.outcome is call_outcome.Outcome.answered:
                return outcome
            if not _is_retryable(outcome) or loop.time() > end:
                raise demo_error.DemoError(f'no answer: {outcome.problem}')
            print_line(
                f'   Refused without running ({outcome.problem}); retrying.'
            )
            await asyncio.sleep(_retry_delay_s(outcome))

    async def _print_loads(
        self, request: completion_request.CompletionRequest
    ) -> None:
        page = await self._ledger(self._demo_site.weight_store.address)
        for entry in page.entries:
            if entry.model == request.model:
                weights = f'adapter {entry.adapter}'
                if not entry.adapter:
                    weights = f'model {entry.model}'
                spent_s = (entry.finished or 0) - entry.started
                print_line(
                    f'   For this request, {entry.request_id} loaded {weights} '
                    f'from the weight store in {spent_s:.3f} s.',
                )

    async def _check_ran_once(self, service: str, key: str) -> None:
        process = self._demo_site.service_by_name[service]
        page = await self._ledger(process.address)
        runs = [entry for entry in page.entries if entry.key == key]
        print_line(
            f'   The ledger of the service shows {len(runs)} run with this key.'
        )
        if len(runs) != 1:
            raise demo_error.DemoError(f'the call ran {len(runs)} times')

    async def _ledger(self, address: str) -> ledger.LedgerPage:
        return await self._client.get(
            address, '/control/ledger', ledger.LedgerPage, timeout_s=TIMEOUT_S
        )


def _adapter_of(
    catalogue: weight_store.Catalogue,
    site_profile: profile.Profile,
) -> weight_store.AdapterWeights:
    return next(
        adapter
        for adapter in catalogue.adapters
        if adapter.model in site_profile.models
    )


def _is_retryable(outcome: call_outcome.CallOutcome) -> bool:
    refused = outcome.refused
    if outcome.outcome is not call_outcome.Outcome.refused or refused is None:
        return False
    if refused.run_state is not refusal.RunState.did_not_run:
        return False
    # A new profile takes effect on every instance after a short delay.
    is_new = refused.code is refusal.Code.unknown_profile
    return is_new or refused.retry_after_s is not None


def _retry_delay_s(outcome: call_outcome.CallOutcome) -> float:
    if outcome.refused is None:
        return DEFAULT_RETRY_DELAY_S
    return outcome.refused.retry_after_s or DEFAULT_RETRY_DELAY_S
