"""Answer the other entry instances."""

from typing import Any

from oatcrank.configuration import change_log, change_news
from oatcrank.entry import json_handler
from oatcrank.membership import exchange, membership


class ExchangeHandler(json_handler.JsonHandler):
    """Answer a peer's exchange."""

    def initialize(self, known: membership.Membership) -> None:
        """Keep what the handler works on."""
        self._known = known

    def post(self) -> None:
        """Take the peer's news and return this instance's."""
        self.answer(self._known.answer(self.decode(exchange.Exchange)))


class DocumentsHandler(json_handler.JsonHandler):
    """Answer a peer's documents."""

    def initialize(self, known: membership.Membership) -> None:
        """Keep what the handler works on."""
        self._known = known

    def post(self) -> None:
        """Take the peer's documents and return those it wants."""
        heard = self.decode(exchange.DocumentExchange)
        self.answer(self._known.answer_documents(heard))


class ChangesHandler(json_handler.JsonHandler):
    """Hand changes to a peer that lacks them."""

    def initialize(self, log: change_log.ChangeLog) -> None:
        """Keep what the handler works on."""
        self._changes = log

    def post(self) -> None:
        """Return the changes after the number that the peer has."""
        wanted = self.decode(change_news.ChangesWanted)
        self.answer(self._changes.news_after(wanted.after))


def routes(
    known: membership.Membership,
    log: change_log.ChangeLog,
) -> list[Any]:
    """Return the routes between instances for a tornado application."""
    return [
        ('/internal/exchange', ExchangeHandler, {'known': known}),
        ('/internal/documents', DocumentsHandler, {'known': known}),
        ('/internal/changes', ChangesHandler, {'log': log}),
    ]
