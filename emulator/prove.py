"""Run the proofs of the product's promises and tell their results."""

import argparse
import sys

import pytest

from emulator import known_red, proof_results

TESTS = 'tests'
HEAD = 'point  faults  cases  passed  failed  known red'
QUICK = frozenset(
    (
        'tests/test_proof_6_leaving.py::test_listed_as_leaving',
        'tests/test_proof_8_changes.py::test_racing_operators[none]',
    )
)
FINE = frozenset((pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED))


def main(arguments: list[str]) -> int:
    """Run the proofs; 1 if one failed that is not known to."""
    parser = argparse.ArgumentParser(prog='emulator prove')
    parser.add_argument(
        '--quick', action='store_true', help='run a fixed smaller set'
    )
    options = parser.parse_args(arguments)
    results = proof_results.ProofResults(QUICK if options.quick else None)
    status = pytest.main([TESTS, '-m', proof_results.MARK], [results])
    _show(results)
    is_whole = status in FINE and bool(results.row_by_point)
    return int(bool(results.failures) or not is_whole)


def _show(results: proof_results.ProofResults) -> None:
    rows = results.rows()
    lines = [HEAD, *(row.line() for row in rows)]
    lines.extend(f'failed: {test}' for test in results.failures)
    lines.extend(
        f'known red, passed over: {entry}'
        for entry in known_red.ENTRY_BY_TEST.values()
    )
    passed = sum(row.passed for row in rows)
    failed = sum(row.failed for row in rows)
    lines.append(f'{passed} passed, {failed} failed')
    sys.stdout.writelines(f'{line}\n' for line in lines)
    sys.stdout.flush()
