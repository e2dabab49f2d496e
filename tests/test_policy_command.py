"""Test the output and exit statuses of the replay commands."""

import argparse
import json
import pathlib

import pytest

from emulator.replaying import (
    policy_command,
    replay_command,
    trace,
    trace_command,
)
from oatcrank.commands import command


def _run(
    tested_command: command.Command,
    *arguments: object,
) -> command.ExitStatus:
    parser = argparse.ArgumentParser()
    tested_command.add_arguments(parser)
    options = parser.parse_args([str(argument) for argument in arguments])
    return tested_command.run(options)


@pytest.mark.parametrize('site', ['yard', 'trilha'])
def test_policy(
    site: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'quiet.jsonl'
    status = _run(trace_command.TraceCommand(), site, 'quiet', path)
    assert status is command.ExitStatus.success
    assert trace.read(path).header.site == site
    plot = tmp_path / 'plot.png'
    arguments = ('--policy', 'static', '--plot', plot, '--output', 'json')
    status = _run(policy_command.PolicyCommand(), path, *arguments)
    assert status is command.ExitStatus.success
    report = json.loads(capsys.readouterr().out)
    assert [row['policy'] for row in report['rows']] == ['static']
    assert report['totals'][0]['site'] == site
    assert plot.stat().st_size


def test_errors_name_file_and_reason(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    absent = tmp_path / 'none.jsonl'
    status = _run(policy_command.PolicyCommand(), absent)
    assert status is command.ExitStatus.failed
    assert 'none.jsonl: No such file' in capsys.readouterr().err
    _run(trace_command.TraceCommand(), 'yard', 'quiet', absent)
    invalid = tmp_path / 'settings.jsonc'
    invalid.write_text('{"instance_id": "i" /* no more */}')
    status = _run(replay_command.ReplayCommand(), absent, '--settings', invalid)
    assert status is command.ExitStatus.usage
    assert 'missing required field' in capsys.readouterr().err
