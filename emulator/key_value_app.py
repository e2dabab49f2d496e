"""Put the paths of the key-value stand-in together."""

import argparse

from tornado import web

from emulator import (
    faults_handler,
    key_handler,
    key_value_config,
    key_value_service,
    stand_in,
    watch_handler,
)
from oatcrank.entry import json_handler


class CountsHandler(json_handler.JsonHandler):
    """Answer with the counts of calls."""

    def initialize(self, service: key_value_service.KeyValueService) -> None:
        """Keep the service's state."""
        self._service = service

    def get(self) -> None:
        """Answer with the counts since the start."""
        self.answer(self._service.counts())


def make_app(config: key_value_config.KeyValueConfig) -> web.Application:
    """Return the application of one empty service."""
    service = key_value_service.KeyValueService(config)
    state = {'service': service}
    return web.Application(
        [
            ('/v1/keys/(.+)', key_handler.KeyHandler, state),
            ('/v1/watch/(.+)', watch_handler.WatchHandler, state),
            ('/control/ledger', CountsHandler, state),
            (
                '/control/faults',
                faults_handler.FaultsHandler,
                {'faults': service.faults},
            ),
        ]
    )


async def run(arguments: argparse.Namespace) -> None:
    """Serve until told to stop."""
    config = stand_in.parse_config(
        arguments.config, key_value_config.KeyValueConfig
    )
    await stand_in.serve('key-value', make_app(config), arguments.port)
