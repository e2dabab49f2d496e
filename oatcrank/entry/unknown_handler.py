"""Refuse paths that nothing is served at."""

from http import HTTPStatus

from oatcrank import refusal
from oatcrank.entry import json_handler


class UnknownHandler(json_handler.JsonHandler):
    """Answer any method of any other path."""

    def prepare(self) -> None:
        """Refuse."""
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.not_found,
                message=f'nothing is served at {self.request.path:.140}',
                run_state=refusal.RunState.did_not_run,
                status=HTTPStatus.NOT_FOUND,
            ),
        )
