"""Cancel requests of the engine stand-in."""

import msgspec

from emulator import engine_handler, work


class Cancel(msgspec.Struct, frozen=True):
    """Name the request to stop."""

    request_id: str


class Cancelled(msgspec.Struct, frozen=True):
    """Say that no such request runs any more."""


class CancelHandler(engine_handler.EngineHandler):
    """Stop requests by their ids."""

    def post(self) -> None:
        """Stop every request of that id."""
        request_id = self.decode(Cancel).request_id
        batch = self._engine.batch
        for wanted in (*batch.queued, *batch.running):
            if wanted.asked.request_id == request_id:
                batch.stop(wanted, work.End.cancelled)
        self.answer(Cancelled())
