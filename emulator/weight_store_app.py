"""Stand-in for the store of model weights."""

import argparse

from tornado import web

from emulator import (
    catalogue_handler,
    faults_handler,
    ledger_handler,
    loads_handler,
    stand_in,
    timed_store,
    weight_store_config,
)


def make_app(store: timed_store.TimedStore) -> web.Application:
    """Return the application of one store."""
    state = {'store': store}
    return web.Application(
        [
            ('/v1/catalogue', catalogue_handler.CatalogueHandler, state),
            ('/v1/loads', loads_handler.LoadsHandler, state),
            (
                '/control/ledger',
                ledger_handler.LedgerHandler,
                {'entries': store.ledger},
            ),
            (
                '/control/faults',
                faults_handler.FaultsHandler,
                {'faults': store.faults},
            ),
        ]
    )


async def run(arguments: argparse.Namespace) -> None:
    """Serve until a signal stops the process."""
    config = stand_in.parse_config(
        arguments.config, weight_store_config.WeightStoreConfig
    )
    store = timed_store.TimedStore(config)
    await stand_in.serve('weight-store', make_app(store), arguments.port)
