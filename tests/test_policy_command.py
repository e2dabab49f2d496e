"""Check what the commands print and how they end."""

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


def _run(word: command.Command, *arguments: object) -> command.ExitStatus:
    parser = argparse.ArgumentParser()
    word.add_arguments(parser)
    return word.run(parser.parse_args([str(given) for given in arguments]))


@pytest.mark.parametrize('site', ['yard', 'trilha'])
def test_policy(
    site: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'quiet.jsonl'
    written = _run(trace_command.TraceCommand(), site, 'quiet', path)
    assert written is command.ExitStatus.success
    assert trace.read(path).head.site == site
    plot = tmp_path / 'plot.png'
    arguments = ('--policy', 'static', '--plot', plot, '--output', 'json')
    ended = _run(policy_command.PolicyCommand(), path, *arguments)
    assert ended is command.ExitStatus.success
    report = json.loads(capsys.readouterr().out)
    assert [row['policy'] for row in report['rows']] == ['static']
    assert report['totals'][0]['site'] == site
    assert plot.stat().st_size


def test_faults_are_named(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    absent = tmp_path / 'none.jsonl'
    ended = _run(policy_command.PolicyCommand(), absent)
    assert ended is command.ExitStatus.failed
    assert 'none.jsonl: No such file' in capsys.readouterr().err
    _run(trace_command.TraceCommand(), 'yard', 'quiet', absent)
    wrong = tmp_path / 'settings.jsonc'
    wrong.write_text('{"instance_id": "i" /* no more */}')
    ended = _run(replay_command.ReplayCommand(), absent, '--settings', wrong)
    assert ended is command.ExitStatus.usage
    assert 'missing required field' in capsys.readouterr().err
