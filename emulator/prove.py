"""Run the proof tests and print a table of their results."""

import argparse
import sys

import pytest

from emulator import known_red, proof_results

TESTS = 'tests'
TABLE_HEADER = 'point  faults  cases  passed  failed  known red'
QUICK_TESTS = frozenset(
    f'tests/test_proof_{test}'
    for test in (
        '1_memory.py::test_memory_is_not_exceeded[dropped-checks]',
        '1_memory.py::test_memory_is_not_exceeded[emptied-ignores]',
        '2_reachable.py::test_every_model_answers[no_fault]',
        '3_whole_answer.py::test_whole_answer[cut]',
        '3_whole_answer.py::test_whole_answer[killed]',
        '4_not_run.py::test_not_run[an engine stops amid its streams]',
        '5_at_most_once.py::test_at_most_once'
        '[sent to several at the same moment]',
        '5_at_most_once.py::test_at_most_once'
        '[the executing entry instance is killed]',
        '6_leaving.py::test_listed_as_leaving',
        '7_planned_stop.py::test_planned_stop'
        '[an entry instance stops amid a long stream]',
        '8_changes.py::test_racing_operators[lost]',
        '8_changes.py::test_racing_operators[cut_off]',
        '9_crashing_request.py::test_crashing_request',
        '10_retry_budget.py::test_domain_lost',
    )
)
COMPLETED_STATUSES = frozenset(
    (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED)
)


def main(arguments: list[str]) -> int:
    """Run the proofs; return 1 if one fails that is not known red."""
    parser = argparse.ArgumentParser(prog='emulator prove')
    parser.add_argument(
        '--quick', action='store_true', help='run a fixed smaller set'
    )
    options = parser.parse_args(arguments)
    results = proof_results.ProofResults(QUICK_TESTS if options.quick else None)
    status = pytest.main([TESTS, '-m', proof_results.MARK], [results])
    _print_results(results)
    is_complete = status in COMPLETED_STATUSES and bool(results.row_by_point)
    return int(bool(results.failures) or not is_complete)


def _print_results(results: proof_results.ProofResults) -> None:
    rows = results.rows()
    lines = [TABLE_HEADER, *(row.line() for row in rows)]
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
