"""Define the HTTP handlers for requests from other entry instances."""

from typing import Any

from oatcrank.configuration import change_log, change_update
from oatcrank.entry import json_handler
from oatcrank.membership import exchange, membership


class ExchangeHandler(json_handler.JsonHandler):
    """Handle a peer's exchange."""

    def initialize(self, membership: membership.Membership) -> None:
        """Set the membership that handles the exchange."""
        self._membership = membership

    def post(self) -> None:
        """Apply the peer's exchange and return this instance's."""
        self.answer(self._membership.answer(self.decode(exchange.Exchange)))


class DocumentsHandler(json_handler.JsonHandler):
    """Handle a peer's document exchange."""

    def initialize(self, membership: membership.Membership) -> None:
        """Set the membership that handles the documents."""
        self._membership = membership

    def post(self) -> None:
        """Store the peer's documents and return those it requests."""
        received = self.decode(exchange.DocumentExchange)
        self.answer(self._membership.answer_documents(received))


class ChangesHandler(json_handler.JsonHandler):
    """Return changes that a peer lacks."""

    def initialize(self, log: change_log.ChangeLog) -> None:
        """Set the change log to read from."""
        self._change_log = log

    def post(self) -> None:
        """Return the changes after the newest number that the peer has."""
        wanted = self.decode(change_update.ChangesRequest)
        self.answer(self._change_log.updates_after(wanted.after))


def routes(
    membership: membership.Membership,
    log: change_log.ChangeLog,
) -> list[Any]:
    """Return the routes for peers of a tornado application."""
    return [
        ('/internal/exchange', ExchangeHandler, {'membership': membership}),
        ('/internal/documents', DocumentsHandler, {'membership': membership}),
        ('/internal/changes', ChangesHandler, {'log': log}),
    ]
