"""Test that the operations pages list every event and metric."""

import ast
import enum
import pathlib
import re
from collections.abc import Iterable, Iterator

import pytest

from oatcrank import refusal
from oatcrank.commands import command
from oatcrank.control import order_sender, plan

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'OPERATING.md').read_text(encoding='utf-8')
PLATFORM_PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
KIND_BY_CALL = {'count': 'counter', 'timing': 'timing', 'gauge': 'gauge'}
METERS = re.compile(r'(^|[._])(meter|metrics)$')


def calls() -> Iterator[tuple[str, str, ast.expr]]:
    for path in sorted((ROOT / 'oatcrank').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if isinstance(node.func, ast.Attribute):
                owner = ast.unparse(node.func.value)
                yield owner, node.func.attr, node.args[0]


def text(name: ast.expr) -> str:
    """Return a name with <> for parts that are known only at run time."""
    if isinstance(name, ast.JoinedStr):
        return ''.join(
            str(part.value) if isinstance(part, ast.Constant) else '<>'
            for part in name.values
        )
    assert isinstance(name, ast.Constant), ast.unparse(name)
    return str(name.value)


def events() -> set[str]:
    return {
        text(name)
        for owner, called, name in calls()
        if (owner, called) == ('logs', 'event')
    }


def metrics() -> set[tuple[str, str]]:
    return {
        (text(name), KIND_BY_CALL[called])
        for owner, called, name in calls()
        if called in KIND_BY_CALL and METERS.search(owner)
    }


def rows(title: str, page: str = PAGE) -> list[list[str]]:
    part = page.partition(f'\n## {title}\n')[2].partition('\n## ')[0]
    lines = [line for line in part.splitlines() if line.startswith('| ')]
    return [line.strip('|').split(' | ') for line in lines[2:]]


def named(row: list[str]) -> str:
    return re.sub('<.*>', '<>', row[0].strip(' `'))


def test_events() -> None:
    by_page = [rows('Log events'), rows('Log events', PLATFORM_PAGE)]
    names = [[named(row) for row in page_rows] for page_rows in by_page]
    assert {*names[0], *names[1]} == events()
    assert all(row[1].strip() for page_rows in by_page for row in page_rows)
    # An event of both programs is listed once on each of the two pages.
    assert all(len(listed) == len(set(listed)) for listed in names)


def test_metrics() -> None:
    documented = rows('Metrics')
    assert {(named(row), row[1]) for row in documented} == metrics()
    assert all(row[2] and row[3] for row in documented)


@pytest.mark.parametrize(
    ('metric', 'parts'),
    [
        ('refused.<code>', refusal.Code),
        ('control.move.<state>', plan.ReplicaState),
        ('control.order_sent.<kind>', order_sender.KIND_BY_STATE.values()),
    ],
)
def test_parts_of_names(
    metric: str,
    parts: Iterable[enum.Enum],
) -> None:
    row = next(row for row in rows('Metrics') if metric in row[0])
    missed = [part for part in parts if f'`{part.value}`' not in row[-1]]
    assert not missed


def test_exit_statuses() -> None:
    documented = [int(row[0].strip()) for row in rows('Exit statuses')]
    assert documented == [int(status) for status in command.ExitStatus]


def test_calling_page_lists_every_code() -> None:
    page = (ROOT / 'docs' / 'CALLING.md').read_text(encoding='utf-8')
    operators_only = {'conflict', 'not_found'}
    used = {
        code
        for path in (ROOT / 'oatcrank').rglob('*.py')
        for code in re.findall(r'refusal\.Code\.(\w+)', path.read_text())
    }
    missed = [code for code in used - operators_only if f'`{code}`' not in page]
    assert used
    assert not missed
