"""Replay traces under all policies: `python -m emulator policy`."""

import argparse
import pathlib
import sys
from collections.abc import Iterator

import msgspec

from emulator.replaying import (
    plots,
    policies,
    policy_front,
    policy_harness,
    policy_table,
    tool,
    trace,
    trace_generator,
)
from oatcrank.commands import command

TRACES = pathlib.Path('traces')
PERCENT = 100


HELP = """\
Replay traces under placement policies, without a running system, and print
what share of the requests met their targets, the accelerators used and the
moves made.

  static         places models once, by their average demand
  on_demand      loads a model when requests wait for it
  expected_gain  weighs what a move gains against its price: what `serve` runs
  informed       knows the whole trace beforehand: a reference to compare with

exit status: 0 success, 1 a trace could not be read or a figure not drawn
"""


class PolicyReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what `--output json` prints."""

    rows: tuple[policy_table.Row, ...]
    totals: tuple[policy_table.Total, ...]


class PolicyCommand(command.Command):
    """Compare the policies on traces, without a running system."""

    name = 'policy'
    summary = 'replay traces under all policies and print one table'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        parser.description = HELP
        parser.add_argument(
            'traces',
            nargs='*',
            type=pathlib.Path,
            help='trace files; by default all of traces/',
        )
        parser.add_argument(
            '--policy',
            choices=[policy.value for policy in policies.Policy],
            action='append',
            help='replay only this policy; can be repeated',
        )
        parser.add_argument(
            '--held-out',
            action='store_true',
            help='replay the seeds that are kept apart from tuning',
        )
        parser.add_argument(
            '--output',
            choices=['table', 'json'],
            default='table',
            help='a table to read, or JSON for programs (default %(default)s)',
        )
        parser.add_argument(
            '--plot',
            type=pathlib.Path,
            metavar='FILE',
            help='draw each replay over time (needs matplotlib)',
        )
        parser.add_argument(
            '--front',
            type=pathlib.Path,
            metavar='FILE',
            help='draw both measures over the weights and print no table',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Replay, print and draw."""
        try:
            _run(options)
        except (trace.TraceError, plots.PlotError) as error:
            sys.stderr.write(f'emulator policy: {error}\n')
            return command.ExitStatus.failed
        return command.ExitStatus.success


def _run(options: argparse.Namespace) -> None:
    replayed = list(_traces(options))
    if not replayed:
        raise trace.TraceError(f'{TRACES}: no traces; name some files')
    if options.front:
        policy_front.draw(options.front, [entry for _, entry in replayed])
        return
    rows: list[policy_table.Row] = []
    panels: list[plots.Panel] = []
    for name, recorded in replayed:
        harness_by_policy = {
            policy: policies.replay(policy, recorded)
            for policy in _policies(options)
        }
        rows.extend(
            policy_table.Row(
                site=recorded.head.site,
                trace=name,
                policy=policy.value,
                figures=harness.score.summary(),
            )
            for policy, harness in harness_by_policy.items()
        )
        panels.extend(_panels(name, harness_by_policy))
    _print(options, rows)
    if options.plot:
        plots.draw(options.plot, panels)


def _policies(options: argparse.Namespace) -> list[policies.Policy]:
    chosen = options.policy or [policy.value for policy in policies.Policy]
    return [policies.Policy(name) for name in chosen]


def _traces(
    options: argparse.Namespace,
) -> Iterator[tuple[str, trace.Trace]]:
    if options.held_out:
        for site in trace_generator.SITES:
            for spell in trace_generator.SPELLS:
                for seed in trace_generator.HELD_OUT_SEEDS:
                    name = f'{site}-{spell}-{seed}'
                    yield name, trace_generator.generate(site, spell, seed)
        return
    for path in options.traces or sorted(TRACES.glob('*.jsonl')):
        yield path.stem, trace.read(path)


def _print(
    options: argparse.Namespace,
    rows: list[policy_table.Row],
) -> None:
    if options.output == 'json':
        report = PolicyReport(
            rows=tuple(rows),
            totals=tuple(policy_table.totals(rows)),
        )
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
    else:
        text = '\n'.join(policy_table.lines(rows))
    sys.stdout.write(f'{text}\n')


def _panels(
    name: str,
    harness_by_policy: dict[policies.Policy, policy_harness.PolicyHarness],
) -> list[plots.Panel]:
    return [
        plots.Panel(
            across=f'{name}, seconds',
            up=label,
            lines=tuple(
                plots.Line(
                    name=policy.value,
                    across=tuple(sample.at_s for sample in harness.samples),
                    up=tuple(
                        _figure(label, sample) for sample in harness.samples
                    ),
                )
                for policy, harness in harness_by_policy.items()
            ),
        )
        for label in ('attained, %', 'accelerators', 'moves')
    ]


def _figure(label: str, sample: policy_harness.Sample) -> float:
    if label == 'accelerators':
        return sample.used
    if label == 'moves':
        return sample.moves
    return PERCENT * sample.met / max(1, sample.arrived)


def main(arguments: list[str]) -> int:
    """Run the tool with its arguments."""
    return tool.run(PolicyCommand(), arguments)
