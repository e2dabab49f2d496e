"""Base class for JSON handlers that can cut the connection."""

from oatcrank.entry import json_handler


class CutHandler(json_handler.JsonHandler):
    """Base class for handlers that simulate lost answers."""

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
