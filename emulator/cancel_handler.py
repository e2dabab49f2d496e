"""Cancel requests of the engine stand-in."""

import msgspec

from emulator import engine_handler, engine_job


class Cancel(msgspec.Struct, frozen=True):
    """Body of a cancellation."""

    request_id: str


class Cancelled(msgspec.Struct, frozen=True):
    """Empty answer: no request with the id is running or queued."""


class CancelHandler(engine_handler.EngineHandler):
    """Cancel requests by id."""

    def post(self) -> None:
        """Cancel every running or queued request with the id."""
        request_id = self.decode(Cancel).request_id
        batch = self._engine.batch
        for job in (*batch.queued, *batch.running):
            if job.request.request_id == request_id:
                batch.stop(job, engine_job.JobEnd.cancelled)
        self.answer(Cancelled())
