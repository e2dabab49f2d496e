"""HTTP application of the key-value stand-in."""

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
    """Serve the call counts."""

    def initialize(self, service: key_value_service.KeyValueService) -> None:
        """Set the service."""
        self._service = service

    def get(self) -> None:
        """Answer with the call counts since the start."""
        self.answer(self._service.counts())


def make_app(config: key_value_config.KeyValueConfig) -> web.Application:
    """Return the application of an empty service."""
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
    """Serve until SIGTERM or SIGINT."""
    config = stand_in.parse_config(
        arguments.config, key_value_config.KeyValueConfig
    )
    await stand_in.serve('key-value', make_app(config), arguments.port)
