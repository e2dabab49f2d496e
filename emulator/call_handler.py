"""Handle calls to the plain-service stand-in."""

import asyncio
import os
from http import HTTPStatus

import xxhash

from emulator import (
    cut_handler,
    ledger_entry,
    plain_service,
    service_answer,
    service_refusal,
)

CRASH_STATUS = 70


class CallHandler(cut_handler.CutHandler):
    """Run a call of any method and path, and echo it."""

    def initialize(self, service: plain_service.PlainService) -> None:
        """Set the service."""
        self._service = service

    async def prepare(self) -> None:
        """Handle the call before tornado dispatches by method."""
        faults = self._service.faults
        if faults.current.leaving:
            self.answer(
                service_refusal.ServiceRefusal('did_not_run'),
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        elif faults.consume('cut_before'):
            self.cut()
        else:
            await self._run(faults.consume('cut_after'))

    async def _run(self, is_cut: bool) -> None:
        service = self._service
        service.run_count += 1
        answer = self._echo(service.run_count)
        entry = ledger_entry.LedgerEntry(
            request_id=answer.request_id,
            key=answer.idempotency_key,
            path=answer.path,
        )
        service.ledger.begin(entry)
        crash_on = service.faults.current.crash_on
        if crash_on and crash_on in answer.body:
            os._exit(CRASH_STATUS)
        await asyncio.sleep(
            service.config.delay_s + service.faults.current.hang_s
        )
        service.ledger.end(entry)
        if is_cut:
            self.cut()
        else:
            self.answer(answer)

    def _echo(self, run_number: int) -> service_answer.ServiceAnswer:
        body = self.request.body
        headers = self.request.headers
        return service_answer.ServiceAnswer(
            service=self._service.config.service,
            server_id=self._service.config.server_id,
            method=self.request.method or '',
            path=self.request.uri or '',
            request_id=headers.get('X-Request-Id', ''),
            idempotency_key=headers.get('Idempotency-Key', ''),
            body=body.decode('utf-8', 'replace'),
            digest=xxhash.xxh64_hexdigest(body),
            run_number=run_number,
        )
