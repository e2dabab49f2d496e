"""Stand-in for a plain service whose calls may be at-most-once."""

import argparse

from tornado import web

from emulator import (
    call_handler,
    faults_handler,
    ledger_handler,
    plain_service,
    plain_service_config,
    stand_in,
)


def make_app(service: plain_service.PlainService) -> web.Application:
    """Return the application of one service."""
    return web.Application(
        [
            (
                '/control/faults',
                faults_handler.FaultsHandler,
                {'faults': service.faults},
            ),
            (
                '/control/ledger',
                ledger_handler.LedgerHandler,
                {'entries': service.ledger},
            ),
            ('/.*', call_handler.CallHandler, {'service': service}),
        ]
    )


async def run(arguments: argparse.Namespace) -> None:
    """Serve until a signal stops the process."""
    config = stand_in.parse_config(
        arguments.config, plain_service_config.PlainServiceConfig
    )
    app = make_app(plain_service.PlainService(config))
    await stand_in.serve('plain-service', app, arguments.port)
