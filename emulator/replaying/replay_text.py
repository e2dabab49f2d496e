"""Format a replay's report as text."""

from collections.abc import Mapping
from typing import TypeVar

from emulator.replaying import policy_table, replay

SYSTEM = 'system'

Name = TypeVar('Name', bound=str)


def format_report(report: replay.ReplayReport) -> str:
    """Return a report as text lines."""
    row = policy_table.Row(
        site=report.site,
        trace=f'{report.site}-{report.pattern}',
        policy=SYSTEM,
        figures=report.figures,
    )
    figures = report.figures
    lines = [
        *policy_table.format_lines([row]),
        '',
        *_shares('profile', figures.attainment_by_profile),
        *_shares('model', figures.attainment_by_model),
        f'moves: {figures.moves_by_kind}',
        f'refusals: {figures.refusals_by_code}',
        f'first token, ms: {figures.first_token_ms}',
        f'between tokens, ms: {figures.between_tokens_ms}',
        f'reports that could not be read: {report.unread_reports}',
        f'not as stated: {report.not_as_stated}',
        *report.shown,
        f'stated outcomes held: {"yes" if report.passed else "no"}',
    ]
    return '\n'.join((*lines, ''))


def _shares(kind: str, share_by_name: Mapping[Name, float]) -> list[str]:
    return [
        f'{kind} {name}: {share:.3f} attained'
        for name, share in sorted(share_by_name.items())
    ]
