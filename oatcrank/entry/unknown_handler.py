"""Fallback handler for unknown paths."""

from http import HTTPStatus

from oatcrank import refusal
from oatcrank.entry import json_handler


class UnknownHandler(json_handler.JsonHandler):
    """Refuse every request to an unknown path."""

    def prepare(self) -> None:
        """Refuse the request as not found."""
        raise refusal.Refused(
            refusal.Refusal(
                code=refusal.Code.not_found,
                message=f'unknown path {self.request.path:.140}',
                run_state=refusal.RunState.did_not_run,
                status=HTTPStatus.NOT_FOUND,
            ),
        )
