"""Collect the results of the proof tests by the point that they prove."""

import pytest

from emulator import known_red, proof_row

MARK = 'point'
TEST_PHASE = 'call'


class ProofResults:
    """Pytest plugin that counts the results of one run."""

    def __init__(self, quick: frozenset[str] | None) -> None:
        """Select only the tests named by `quick`, or all if it is None."""
        self.row_by_point: dict[int, proof_row.ProofRow] = {}
        self.failures: list[str] = []
        self._quick = quick
        self._row_by_test: dict[str, proof_row.ProofRow] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Select the tests that prove a point and record their faults.

        A quick test that no longer exists counts as a failure.
        """
        selected = [item for item in items if self._is_selected(item)]
        items.clear()
        items.extend(selected)
        test_ids = {item.nodeid for item in selected}
        self.failures.extend(sorted((self._quick or test_ids) - test_ids))
        for item in items:
            mark = item.get_closest_marker(MARK)
            assert mark is not None
            point, fault = mark.args
            row = self.row_by_point.setdefault(
                point, proof_row.ProofRow(point=point)
            )
            row.faults.add(fault)
            self._row_by_test[item.nodeid] = row

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Count the result of a test, and each failed setup or teardown."""
        row = self._row_by_test.get(report.nodeid)
        if row is None or not _is_counted(report):
            return
        if report.nodeid in known_red.ENTRY_BY_TEST:
            row.known_red += 1
        elif report.passed:
            row.passed += 1
        else:
            # A skipped proof proves nothing, so it counts as failed.
            row.failed += 1
            self.failures.append(report.nodeid)

    def rows(self) -> list[proof_row.ProofRow]:
        """Return the rows sorted by point."""
        return [self.row_by_point[point] for point in sorted(self.row_by_point)]

    def _is_selected(self, item: pytest.Item) -> bool:
        if item.get_closest_marker(MARK) is None:
            return False
        return self._quick is None or item.nodeid in self._quick


def _is_counted(report: pytest.TestReport) -> bool:
    return report.when == TEST_PHASE or not report.passed
