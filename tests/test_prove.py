"""Check that the proof table counts failures and excepts known red tests."""

import pathlib

import pytest

from emulator import known_red, proof_results, prove

CASES = """
import pytest

@pytest.mark.point(1, 'a fault')
@pytest.mark.parametrize('good', [True, False])
def test_one(good):
    assert good

@pytest.mark.point(2, 'another fault')
def test_two():
    pytest.skip()

def test_unmarked():
    raise AssertionError
"""


@pytest.mark.parametrize(
    ('known', 'last', 'status'),
    [
        ((), '1 passed, 2 failed', 1),
        (('test_one[False]',), '1 passed, 1 failed', 1),
        (('test_one[False]', 'test_two'), '1 passed, 0 failed', 0),
    ],
)
def test_table(
    known: tuple[str, ...],
    last: str,
    status: int,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / f'test_cases_{len(known)}.py'
    path.write_text(CASES)
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(prove, 'TESTS', str(path))
    red = {f'{path.name}::{name}': f'{name} seen' for name in known}
    monkeypatch.setattr(known_red, 'ENTRY_BY_TEST', red)
    assert prove.main([]) == status
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1] == last
    known_red_lines = [
        line for line in lines if line.startswith('known red, passed')
    ]
    assert len(known_red_lines) == len(known)


def test_missing_quick_test_fails() -> None:
    results = proof_results.ProofResults(frozenset(('gone.py::test',)))
    results.pytest_collection_modifyitems([])
    assert results.failures == ['gone.py::test']


def test_entries() -> None:
    text = '# comment\n\na.py::b python -m pytest, seed 1: seen\n'
    assert known_red.entries_of(text) == {
        'a.py::b': 'a.py::b python -m pytest, seed 1: seen'
    }
