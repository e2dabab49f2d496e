"""Compare placement policies on traces: `python -m emulator policy`."""

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

TRACES_DIRECTORY = pathlib.Path('traces')
PERCENT = 100


HELP = """\
Replay traces with placement policies, without a running system, and print the
share of requests that met their targets, the accelerators used and the moves
made.

  static         places models once, by their average demand
  on_demand      loads a model when requests wait for it
  expected_gain  compares the gain of each move with its cost; used by `serve`
  informed       knows the whole trace in advance; a reference for comparison

exit status: 0 success, 1 a trace could not be read or a figure not drawn
"""


class PolicyReport(msgspec.Struct, frozen=True, kw_only=True):
    """Output of `--output json`."""

    rows: tuple[policy_table.Row, ...]
    totals: tuple[policy_table.Total, ...]


class PolicyCommand(command.Command):
    """Compare policies on traces, without a running system."""

    name = 'policy'
    summary = 'replay traces with placement policies and print a table'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments to a parser."""
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
            help='replay only with this policy; can be given several times',
        )
        parser.add_argument(
            '--held-out',
            action='store_true',
            help='replay generated traces of seeds not used for tuning',
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
            help='plot each replay over time (needs matplotlib)',
        )
        parser.add_argument(
            '--front',
            type=pathlib.Path,
            metavar='FILE',
            help='plot attainment against moves over the policy weights '
            'instead of printing a table (needs matplotlib)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Replay the traces, print the report and draw the figures."""
        try:
            _run(options)
        except (trace.TraceError, plots.PlotError) as error:
            sys.stderr.write(f'emulator policy: {error}\n')
            return command.ExitStatus.failed
        return command.ExitStatus.success


def _run(options: argparse.Namespace) -> None:
    named_traces = list(_traces(options))
    if not named_traces:
        raise trace.TraceError(
            f'{TRACES_DIRECTORY}: no traces found; give trace files'
        )
    if options.front:
        policy_front.draw(
            options.front,
            [recorded_trace for _, recorded_trace in named_traces],
        )
        return
    rows: list[policy_table.Row] = []
    panels: list[plots.Panel] = []
    for name, recorded_trace in named_traces:
        harness_by_policy = {
            policy: policies.replay(policy, recorded_trace)
            for policy in _policies(options)
        }
        rows.extend(
            policy_table.Row(
                site=recorded_trace.header.site,
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
    names = options.policy or [policy.value for policy in policies.Policy]
    return [policies.Policy(name) for name in names]


def _traces(
    options: argparse.Namespace,
) -> Iterator[tuple[str, trace.Trace]]:
    if options.held_out:
        for site in trace_generator.SITES:
            for pattern in trace_generator.PATTERNS:
                for seed in trace_generator.HELD_OUT_SEEDS:
                    name = f'{site}-{pattern}-{seed}'
                    yield name, trace_generator.generate(site, pattern, seed)
        return
    for path in options.traces or sorted(TRACES_DIRECTORY.glob('*.jsonl')):
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
        text = '\n'.join(policy_table.format_lines(rows))
    sys.stdout.write(f'{text}\n')


def _panels(
    name: str,
    harness_by_policy: dict[policies.Policy, policy_harness.PolicyHarness],
) -> list[plots.Panel]:
    return [
        plots.Panel(
            x_label=f'{name}, seconds',
            y_label=label,
            lines=tuple(
                plots.Line(
                    name=policy.value,
                    x_values=tuple(sample.at_s for sample in harness.samples),
                    y_values=tuple(
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
        return sample.used_servers
    if label == 'moves':
        return sample.moves
    return PERCENT * sample.met / max(1, sample.arrived)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    return tool.run(PolicyCommand(), arguments)
