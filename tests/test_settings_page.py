"""Test that the settings page and examples describe every setting."""

import argparse
import pathlib
from collections.abc import Iterator

import msgspec
import pytest

from oatcrank.commands import check_settings_command, command
from oatcrank.settings import settings

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'SETTINGS.md').read_text(encoding='utf-8')
EXAMPLES = sorted((ROOT / 'examples').glob('*/settings.json'))
GOOD = """{
  "instance_id": "e0", "failure_domain": "d",
  "listen": {"host": "127.0.0.1", "port": 8080},
  "platform": {"key_value": "127.0.0.1:1", "instance_list": "127.0.0.1:2",
    "weight_store": "127.0.0.1:3"},
  "weight_store": {"loads_per_s": 1.5, "concurrent_loads": 7,
    "adapters_in_transit": 55}%s
}"""


def all_settings() -> Iterator[tuple[str, str, str]]:
    for part in msgspec.structs.fields(settings.Settings):
        section = getattr(part.type, '__args__', (part.type,))[0]
        if not hasattr(section, '__struct_fields__'):
            yield part.name, kind(part), default(part)
            continue
        for field in msgspec.structs.fields(section):
            yield f'{part.name}.{field.name}', kind(field), default(field)


def kind(field: msgspec.structs.FieldInfo) -> str:
    return {int: 'integer', float: 'number'}.get(field.type, 'text')


def default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    if isinstance(field.default, float):
        return f'{field.default:g}'
    return str(field.default)


def rows() -> dict[str, list[str]]:
    lines = [line for line in PAGE.splitlines() if line.startswith('| `')]
    cells = [line.strip('| ').split(' | ') for line in lines]
    return {row[0].strip('`'): row[1:] for row in cells}


def test_page_describes_every_setting() -> None:
    documented = rows()
    assert set(documented) == {path for path, _, _ in all_settings()}
    for path, type_name, usual in all_settings():
        assert documented[path][0] == type_name, path
        assert documented[path][2] == usual, path
        assert len(documented[path]) == 5, path
        assert all(documented[path]), path


@pytest.mark.parametrize('example', EXAMPLES, ids=lambda it: it.parent.name)
def test_example_describes_every_setting(example: pathlib.Path) -> None:
    text = example.read_text(encoding='utf-8')
    documented = rows()
    for path, _, usual in all_settings():
        section, _, name = path.rpartition('.')
        part = text.partition(f'"{section}": {{')[2] if section else text
        before = part.partition(f'"{name}": ')[0]
        note = f'default {usual}'.replace('default required', 'required')
        comment = before.rstrip('/ \n').splitlines()[-1].strip(' /')
        assert comment == f'[{documented[path][1]}; {note}]', path


@pytest.mark.parametrize('example', EXAMPLES, ids=lambda it: it.parent.name)
def test_example_is_good(example: pathlib.Path) -> None:
    assert check(example) is command.ExitStatus.success


def check(path: pathlib.Path) -> command.ExitStatus:
    check_settings = check_settings_command.CheckSettingsCommand()
    return check_settings.run(argparse.Namespace(file=str(path)))


@pytest.mark.parametrize(
    ('text', 'problems'),
    [
        ('{', ['not JSON']),
        ('[]', ['the file: found []; allowed: type object']),
        (
            '{"instance_id": 7, "listen": {"host": "::1", "prot": 71}}',
            [
                'instance_id: found 7; allowed: type string',
                'failure_domain: missing; it must be given',
                'listen.port: missing; it must be given',
                'listen.prot: unknown; allowed here: host, port',
                'platform: missing; it must be given',
                'weight_store: missing; it must be given',
            ],
        ),
        (
            GOOD % ', "limits": {"body_bytes": "1 MB", "keep": 1}, "spare": {}',
            [
                'limits.body_bytes: found "1 MB"; allowed: type integer',
                'limits.keep: unknown; allowed here: body_bytes, queued_per_',
                'spare: unknown; allowed here: instance_id, failure_domain',
            ],
        ),
        (
            GOOD % ', "statsd": {"port": 1.5, "prefix": null}',
            [
                'statsd.host: missing; it must be given',
                'statsd.port: found 1.5; allowed: type integer',
                'statsd.prefix: found null; allowed: type string',
            ],
        ),
        (
            GOOD.replace('"d"', '""').replace('127.0.0.1:2', 'list:0')
            % ', "membership": {"dead_after_ms": 500, "cell_size": -1}, '
            '"limits": {"retry_share": 1.5}, "claims": {"shards": 0}, '
            '"policy": {"move_weight": -0.5}, '
            '"statsd": {"host": "a", "port": 0}',
            [
                'failure_domain: found ""; allowed: a name',
                'platform.instance_list: found "list"; allowed: an IP address',
                'platform.instance_list: found port "0"; allowed: 1 to 65535',
                'membership.dead_after_ms: found 500; allowed: above exchange_',
                'membership.cell_size: found -1; allowed: above 0',
                'limits.retry_share: found 1.5; allowed: 0 to 1',
                'claims.shards: found 0; allowed: above 0',
                'policy.move_weight: found -0.5; allowed: above 0',
                'statsd.port: found port "0"; allowed: 1 to 65535',
            ],
        ),
    ],
)
def test_every_problem_is_reported(
    text: str,
    problems: list[str],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(text)
    assert check(path) is command.ExitStatus.failed
    shown = capsys.readouterr().err
    assert [problem for problem in problems if problem not in shown] == []
    reported = shown.count('; allowed') + shown.count('; it must be given')
    assert reported == len(problems) or problems == ['not JSON']
