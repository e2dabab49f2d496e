"""HTTP application of the instance-list stand-in."""

import argparse

from tornado import web

from emulator import (
    faults_handler,
    instance_list_config,
    instances_handler,
    lagging_list,
    stand_in,
)


def make_app(
    config: instance_list_config.InstanceListConfig,
) -> web.Application:
    """Return the application of an instance list."""
    lagging = lagging_list.LaggingList(config)
    state = {'lagging': lagging}
    return web.Application(
        [
            ('/v1/instances', instances_handler.InstancesHandler, state),
            ('/control/instances', instances_handler.InstancesHandler, state),
            (
                '/control/faults',
                faults_handler.FaultsHandler,
                {'faults': lagging.faults},
            ),
        ]
    )


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    config = stand_in.parse_config(
        arguments.config, instance_list_config.InstanceListConfig
    )
    await stand_in.serve('instance-list', make_app(config), arguments.port)
