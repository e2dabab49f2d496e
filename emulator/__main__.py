"""Command line entry point for stand-ins and tools."""

import argparse
import asyncio
import importlib
import sys

MODULE_BY_STAND_IN = {
    'key-value': 'key_value_app',
    'instance-list': 'instance_list_app',
    'weight-store': 'weight_store_app',
    'engine': 'engine_app',
    'plain-service': 'plain_service_app',
}
MODULE_BY_TOOL = {
    'demo': 'demo',
    'load': 'load',
    'prove': 'prove',
    'replay': 'replay_site',
    'slopes': 'slopes',
    'policy': 'replaying.policy_command',
    'replay-running': 'replaying.replay_command',
    'trace': 'replaying.trace_command',
}


def main(arguments: list[str]) -> int:
    """Run the stand-in or tool that the first argument names."""
    names = [*MODULE_BY_STAND_IN, *MODULE_BY_TOOL]
    parser = argparse.ArgumentParser(prog='emulator')
    parser.add_argument('name', choices=names)
    chosen = parser.parse_args(arguments[:1]).name
    if chosen in MODULE_BY_TOOL:
        tool = importlib.import_module(f'emulator.{MODULE_BY_TOOL[chosen]}')
        return int(tool.main(arguments[1:]))
    return _run_stand_in(chosen, arguments[1:])


def _run_stand_in(chosen: str, arguments: list[str]) -> int:
    stand_in = importlib.import_module('emulator.stand_in')
    module = importlib.import_module(f'emulator.{MODULE_BY_STAND_IN[chosen]}')
    parser = argparse.ArgumentParser(prog=f'emulator {chosen}')
    stand_in.add_arguments(parser)
    asyncio.run(module.run(parser.parse_args(arguments)))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
