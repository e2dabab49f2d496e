"""Walk through what oatcrank does for a site, step by step."""

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
    completion,
    demo_error,
    launcher,
    ledger,
    running_site,
    service_answer,
)
from oatcrank import refusal, rpc
from oatcrank.configuration import profile
from oatcrank.store import weight_store

CALL = b'{"gate": 4, "crew": "Half Way Tree"}'
ENTRY_COUNT = 3
ANSWER_TOKENS = 24
PATIENCE_S = 60
FIRST_PAUSE_S = 0.5
TIMEOUT_S = 5
INTRODUCTION = """\
oatcrank serves many models from fewer accelerators.  Callers send their work to
entry instances, which pass it on to backend servers: model engines, which must
load a model before they can answer for it, and plain services.  An operator
says by profiles how fast the answers must come and which calls may run only
once.  Here every part is a process of its own on this machine; the engines are
stand-ins that make their answers up.
"""
Ask = Callable[[], Awaitable[call_outcome.CallOutcome]]


def say(text: str) -> None:
    """Tell the reader what happens."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


class DemoSteps:
    """Run the steps on one site."""

    def __init__(
        self,
        started_by: launcher.Launcher,
        running: running_site.RunningSite,
        directory: pathlib.Path,
    ) -> None:
        """Keep what the steps need; files go to the directory."""
        self._launcher = started_by
        self._running = running
        self._directory = directory
        self._client = rpc.Rpc()

    async def start(self) -> None:
        """Start the platform, the backend servers and the entry instances."""
        site = self._running.site
        ports = [launcher.free_port() for _ in range(ENTRY_COUNT)]
        say(INTRODUCTION)
        say(f'1. Starting {site.title} on this machine.')
        await self._running.start_outside(ports)
        for pool in site.pools:
            say(
                f'   Pool {pool.name}: {pool.engines} model engines for '
                f'{len(pool.models)} models, nothing loaded yet; beside them '
                f'the plain service "{pool.service}".',
            )
        say(
            '   Small stand-ins play the platform: key-value service, '
            'instance list, weight store.',
        )
        await self._running.start_entries(ports)
        for entry, domain in zip(
            self._running.entries, site.failure_domains, strict=True
        ):
            say(f'   {entry.name} listens at {entry.address} in {domain}.')

    async def create_profiles(self) -> None:
        """Create every profile with the operator's command."""
        say('2. An operator says what is promised, by creating profiles.')
        for number, wanted in enumerate(self._running.site.profiles):
            entry = self._running.entries[number % ENTRY_COUNT]
            await self._create(wanted, entry.address)

    async def ask_model(self) -> None:
        """Ask for an answer of a model that no engine holds at the start."""
        site = self._running.site
        wanted = site.profiles[0]
        adapter = _adapter_of(site.catalogue(), wanted)
        asked = completion.Completion(
            model=adapter.model,
            adapter=adapter.name,
            prompt='A customer asks: when does the van come?',
            max_tokens=ANSWER_TOKENS,
            stream=True,
        )
        say(
            f'3. A caller of profile "{wanted.name}" wants model '
            f'"{asked.model}" with adapter "{asked.adapter}".',
        )
        sender = await self._caller(wanted)
        answer = await self._patiently(
            functools.partial(sender.complete, asked)
        )
        say(
            f'   {answer.address} streamed {ANSWER_TOKENS} tokens; the first '
            f'came after {answer.first_token_s:.3f} s, all after '
            f'{answer.whole_s:.3f} s:',
        )
        say(f'   "{answer.text.strip()}"')
        say(
            '   They came in order, the digest of the whole answer is right, '
            'and it is the answer to this very request.',
        )
        await self._tell_loads(asked)

    async def call_service(self) -> None:
        """Make a call that must not run twice, and send it again."""
        wanted = self._running.site.profiles[-1]
        service = wanted.services[0]
        key = uuid.uuid4().hex
        say(
            f'4. A caller of profile "{wanted.name}", which is at-most-once, '
            f'calls the plain service "{service}" with key {key}.',
        )
        sender = await self._caller(wanted)
        call = functools.partial(
            sender.call_service, service, 'new', CALL, key=key
        )
        for title in ('first time', 'again, as if the answer were lost'):
            ended = await self._patiently(call)
            answer = msgspec.json.decode(
                ended.text, type=service_answer.ServiceAnswer
            )
            if answer.body != CALL.decode():
                raise demo_error.DemoError(f'a foreign answer: {ended.text}')
            say(
                f'   Sent {title}: {ended.address} hands back what '
                f'{answer.server_id} answered in its run {answer.run_number}.',
            )
        await self._check_once(service, key)

    async def _create(self, wanted: profile.Profile, address: str) -> None:
        path = self._directory / f'profile-{wanted.name}.json'
        path.write_bytes(msgspec.json.encode(wanted))
        command = ['profile', 'create', '--who', 'demo']
        command += ['--address', address, '--file']
        ended = await self._launcher.command(
            ['-m', 'oatcrank', *command, str(path)]
        )
        if ended.status:
            raise demo_error.DemoError(
                f'creating profile {wanted.name} failed with status '
                f'{ended.status}: {ended.output}',
            )
        once = ', at most once' if wanted.at_most_once else ''
        say(
            f'   Profile "{wanted.name}": {len(wanted.models)} models, '
            f'{len(wanted.adapters)} adapters, services '
            f'{list(wanted.services)}{once}; asked of {address}.',
        )

    async def _caller(self, wanted: profile.Profile) -> caller.Caller:
        known = tuple(entry.address for entry in self._running.entries)
        sender = caller.Caller(self._client, known, wanted.name)
        addresses = await sender.book.read()
        say(
            f'   It asks {known[0]} which address to use and is told: '
            f'{", ".join(addresses)}.',
        )
        return sender

    async def _patiently(self, ask: Ask) -> call_outcome.CallOutcome:
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE_S
        while True:
            answer = await ask()
            if answer.outcome is call_outcome.Outcome.answered:
                return answer
            if not _may_come_back(answer) or loop.time() > end:
                raise demo_error.DemoError(f'no answer: {answer.problem}')
            say(f'   Refused as not run ({answer.problem}); asking again.')
            await asyncio.sleep(_pause_s(answer))

    async def _tell_loads(self, asked: completion.Completion) -> None:
        page = await self._ledger(self._running.weight_store.address)
        for entry in page.entries:
            if entry.model == asked.model:
                weights = f'adapter {entry.adapter}'
                if not entry.adapter:
                    weights = f'model {entry.model}'
                spent_s = (entry.finished or 0) - entry.started
                say(
                    f'   For this, {entry.request_id} had loaded {weights} '
                    f'from the weight store in {spent_s:.3f} s.',
                )

    async def _check_once(self, service: str, key: str) -> None:
        process = self._running.service_by_name[service]
        page = await self._ledger(process.address)
        runs = [entry for entry in page.entries if entry.key == key]
        say(f'   The service itself counts {len(runs)} run of this key.')
        if len(runs) != 1:
            raise demo_error.DemoError(f'the call ran {len(runs)} times')

    async def _ledger(self, address: str) -> ledger.LedgerPage:
        return await self._client.get(
            address, '/control/ledger', ledger.LedgerPage, timeout_s=TIMEOUT_S
        )


def _adapter_of(
    catalogue: weight_store.Catalogue,
    wanted: profile.Profile,
) -> weight_store.AdapterWeights:
    return next(
        adapter
        for adapter in catalogue.adapters
        if adapter.model in wanted.models
    )


def _may_come_back(answer: call_outcome.CallOutcome) -> bool:
    refused = answer.refused
    if answer.outcome is not call_outcome.Outcome.refused or refused is None:
        return False
    if refused.run_state is not refusal.RunState.did_not_run:
        return False
    # A profile needs a moment until it is in force everywhere.
    is_new = refused.code is refusal.Code.unknown_profile
    return is_new or refused.retry_after_s is not None


def _pause_s(answer: call_outcome.CallOutcome) -> float:
    if answer.refused is None:
        return FIRST_PAUSE_S
    return answer.refused.retry_after_s or FIRST_PAUSE_S
