"""HTTP handlers for exclusive runs, used by other instances."""

from typing import Any

from oatcrank.entry import (
    exclusive_run,
    exclusive_run_table,
    json_handler,
    shared_exclusive_runs,
)

Route = tuple[str, type, dict[str, Any]]


class BeginHandler(json_handler.JsonHandler):
    """Grant runs to other instances."""

    def initialize(self, table: exclusive_run_table.ExclusiveRunTable) -> None:
        """Use this instance's table."""
        self._table = table

    def post(self) -> None:
        """Return whether the run may begin."""
        run = self.decode(exclusive_run.ExclusiveRun)
        self.answer(shared_exclusive_runs.Reply(self._table.begin(run)))


class EndHandler(json_handler.JsonHandler):
    """End runs of other instances."""

    def initialize(self, table: exclusive_run_table.ExclusiveRunTable) -> None:
        """Use this instance's table."""
        self._table = table

    def post(self) -> None:
        """End the run."""
        self._table.end(self.decode(exclusive_run.ExclusiveRun))
        self.answer(shared_exclusive_runs.Reply(granted=True))


def routes(table: exclusive_run_table.ExclusiveRunTable) -> list[Route]:
    """Return the routes for exclusive runs between instances."""
    arguments = {'table': table}
    return [
        (shared_exclusive_runs.BEGIN_PATH, BeginHandler, arguments),
        (shared_exclusive_runs.END_PATH, EndHandler, arguments),
    ]
