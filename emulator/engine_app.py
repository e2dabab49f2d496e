"""HTTP application of the engine stand-in."""

import argparse
import asyncio

from tornado import web

from emulator import (
    cancel_handler,
    completions_handler,
    engine_config,
    faults_handler,
    ledger_handler,
    memory_handler,
    orders_handler,
    report_handler,
    stand_in,
    stand_in_engine,
)


def make_app(engine: stand_in_engine.StandInEngine) -> web.Application:
    """Return the application of an engine."""
    state = {'engine': engine}
    return web.Application(
        [
            ('/v1/completions', completions_handler.CompletionsHandler, state),
            (
                completions_handler.CHAT_PATH,
                completions_handler.CompletionsHandler,
                state,
            ),
            ('/v1/cancel', cancel_handler.CancelHandler, state),
            ('/v1/orders', orders_handler.OrdersHandler, state),
            ('/v1/report', report_handler.ReportHandler, state),
            *_control_paths(engine),
        ]
    )


def _control_paths(engine: stand_in_engine.StandInEngine) -> list[web.URLSpec]:
    return [
        web.url(
            '/control/faults',
            faults_handler.FaultsHandler,
            {'faults': engine.faults},
        ),
        web.url(
            '/control/ledger',
            ledger_handler.LedgerHandler,
            {'entries': engine.batch.ledger},
        ),
        web.url(
            '/control/memory',
            memory_handler.MemoryHandler,
            {'memory': engine.memory},
        ),
    ]


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    config = stand_in.parse_config(arguments.config, engine_config.EngineConfig)
    engine = stand_in_engine.StandInEngine(config)
    batch_task = asyncio.create_task(engine.batch.run())
    await stand_in.serve('engine', make_app(engine), arguments.port)
    batch_task.cancel()
