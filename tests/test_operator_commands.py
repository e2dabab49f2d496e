"""Test the operator commands, from the command line to the change log."""

import argparse
import asyncio
import pathlib
from collections.abc import Callable

import pytest

from oatcrank.commands import (
    audit_command,
    check_settings_command,
    command,
    profile_command,
    status_command,
)
from tests import configuration_parts, entry_parts

Exit = command.ExitStatus
PROFILE = """{
  // quick
  "name": "quick", "models": ["m"],
  "targets": {"first_token_ms": %s, "between_tokens_ms": 5,
    "whole_answer_ms": 9}
}"""
COMMANDS = (
    profile_command.ProfileCommand(),
    audit_command.AuditCommand(),
    status_command.StatusCommand(),
    check_settings_command.CheckSettingsCommand(),
)


def run_command(line: str) -> Exit:
    name, *rest = line.split()
    selected = next(offered for offered in COMMANDS if offered.name == name)
    parser = argparse.ArgumentParser()
    selected.add_arguments(parser)
    return selected.run(parser.parse_args(rest))


CREATE = 'profile create --file {dir}/1 --who ann'
CHANGE = 'profile change --file {dir}/2 --who bob --based-on'


@pytest.mark.parametrize(
    ('lines', 'exits', 'expected'),
    [
        ([CREATE, f'{CHANGE} 1'], [0, 0], 'quick is at revision 2'),
        ([CREATE, f'{CHANGE} 1', f'{CHANGE} 1'], [0, 0, 3], 'changed by bob'),
        ([CREATE, CREATE], [0, 3], 'its revision is 1'),
        (
            [CREATE, 'profile retire quick --who c --based-on 1', CREATE],
            [0, 0, 3],
            'retired by c',
        ),
        ([CREATE, 'profile list'], [0, 0], 'quick    1         ann'),
        ([CREATE, 'profile show quick'], [0, 0], '"first_token_ms": 3'),
        (['profile show slow'], [5], 'no profile slow'),
        (
            [CREATE, f'{CHANGE} 1', 'profile history quick'],
            [0, 0, 0],
            "targets: {'first_token_ms': 3",
        ),
        ([CREATE, 'audit'], [0, 0], 'create  quick'),
        ([CREATE, 'audit --after 1'], [0, 0], 'number  when'),
        ([CREATE, 'status'], [0, 0], 'newest change 1, isolated False'),
        ([CREATE, 'status --output json'], [0, 0], '"newest_change":1'),
        (['profile create --file {dir}/bad --who a'], [2], 'targets: missing'),
        (['cut', CREATE], [0, 4], '--change-id'),
        (['lose', CREATE], [0, 4], 'outcome_unknown'),
        (['lose', f'{CREATE} --change-id x', 'mend'], [0, 4, 0], 'x'),
    ],
)
def test_commands(
    lines: list[str],
    exits: list[int],
    expected: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    (tmp_path / '1').write_text(PROFILE % '3')
    (tmp_path / '2').write_text(PROFILE % '4')
    (tmp_path / 'bad').write_text('{"name": "a"}')

    async def run() -> list[int]:
        store = configuration_parts.LateKeyValue()
        entry = entry_parts.Entry('e0', store, entry_parts.FakeInstanceList())
        entry.start()
        await entry_parts.wait_until(lambda: not entry.follower.isolated)
        address = entry.membership.own.address

        def faulty(line: str) -> int:
            entry.link.cut = line == 'cut'
            store.lose_requests = int(line == 'lose')
            return 0

        faults: dict[str, Callable[[str], int]]
        faults = dict.fromkeys(('cut', 'lose', 'mend'), faulty)
        ended = []
        for line in lines:
            if line in faults:
                ended.append(faults[line](line))
                continue
            full = f'{line.format(dir=tmp_path)} --address {address}'
            ended.append(await asyncio.to_thread(run_command, full))
        await entry.stop()
        return [int(status) for status in ended]

    assert asyncio.run(run()) == exits
    shown = capsys.readouterr()
    assert expected in shown.out + shown.err


@pytest.mark.parametrize('line', ['profile show p', 'profile list', 'audit'])
def test_isolated_instance_does_not_list_profiles(
    line: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def run() -> Exit:
        store = configuration_parts.LateKeyValue()
        entry = entry_parts.Entry('e0', store, entry_parts.FakeInstanceList())
        entry.link.cut = True
        entry.start()
        address = entry.membership.own.address
        ended = await asyncio.to_thread(
            run_command, f'{line} --address {address}'
        )
        await entry.stop()
        return ended

    assert asyncio.run(run()) is Exit.unavailable
    assert 'just started' in capsys.readouterr().err


SETTINGS = """{
  "instance_id": "e0", "failure_domain": "d",  // location
  "listen": {"host": "127.0.0.1", "port": 8080},
  "platform": {"key_value": "127.0.0.1:1", "instance_list": "127.0.0.1:2",
    "weight_store": "127.0.0.1:3"},
  "weight_store": {"loads_per_s": 1.5, "concurrent_loads": 7,
    "adapters_in_transit": 55}%s
}"""


@pytest.mark.parametrize(
    ('text', 'problems'),
    [
        (SETTINGS % '', []),
        (
            '{"listen": {"host": 5, "prot": 1}, "statsd": {"port": "x"}}',
            [
                'instance_id: missing',
                'failure_domain: missing',
                'listen.port: missing',
                'listen.prot: unknown; allowed here: host, port',
                'listen.host: found 5; allowed: type string',
                'platform: missing',
                'statsd.host: missing',
                'statsd.port: found "x"; allowed: type integer',
            ],
        ),
        (
            SETTINGS.replace('127.0.0.1:2', 'zk:x').replace('8080', '80800')
            % ', "limits": {"retry_share": 2, "body_bytes": 0}',
            [
                'listen.port: found port "80800"',
                'platform.instance_list: found "zk"; allowed: an IP address',
                'platform.instance_list: found port "x"',
                'limits.retry_share: found 2; allowed: 0 to 1',
                'limits.body_bytes: found 0; allowed: above 0',
            ],
        ),
        ('{', ['not JSON']),
    ],
)
def test_check_settings(
    text: str,
    problems: list[str],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'settings'
    path.write_text(text)
    ended = run_command(f'check-settings {path}')
    shown = capsys.readouterr().err
    missed = [problem for problem in problems if problem not in shown]
    assert not missed
    assert (ended is Exit.failed) is bool(problems)
