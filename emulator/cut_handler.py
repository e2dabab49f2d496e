"""Answer with JSON or cut the connection instead."""

from oatcrank.entry import json_handler


class CutHandler(json_handler.JsonHandler):
    """Be the base of handlers that can lose their answers."""

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
