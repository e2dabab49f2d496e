"""Send operator requests to an entry instance."""

import argparse
import asyncio
from http import HTTPStatus
from typing import TypeVar

import msgspec

from oatcrank import decoding, errors, ids, refusal, rpc
from oatcrank.commands import command

TIMEOUT_S = 15.0
DEFAULT_ADDRESS = '127.0.0.1:8080'

Answer = TypeVar('Answer')


class CommandFailed(errors.OatcrankError):
    """Raised with a message for the operator and the exit status."""

    def __init__(self, status: command.ExitStatus, message: str) -> None:
        """Hold the exit status."""
        super().__init__(message)
        self.status = status


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that all operator commands share."""
    parser.add_argument(
        '--address',
        default=DEFAULT_ADDRESS,
        help='any entry instance as ip:port (default %(default)s)',
    )
    parser.add_argument(
        '--output',
        choices=('text', 'json'),
        default='text',
        help='a table to read, or JSON for programs (default %(default)s)',
    )


def call(
    address: str,
    method: str,
    path: str,
    answer_type: type[Answer],
    message: msgspec.Struct | None = None,
) -> Answer:
    """Call an instance; raises CommandFailed."""
    body = None if message is None else msgspec.json.encode(message)
    try:
        text = asyncio.run(_fetch(address, method, path, body))
        return decoding.from_json(text, expected=answer_type)
    except rpc.RpcStatusError as error:
        raise _failed(error) from error
    except errors.Unavailable as error:
        raise CommandFailed(
            command.ExitStatus.unavailable,
            f'{error}\nfix: set --address to a running instance',
        ) from error
    except (errors.UnknownOutcome, msgspec.MsgspecError) as error:
        raise CommandFailed(
            command.ExitStatus.unavailable,
            f'the answer was lost: {error}',
        ) from error


async def _fetch(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
) -> bytes:
    client = rpc.Rpc()
    try:
        return await client.fetch(
            address,
            method,
            path,
            body,
            timeout_s=TIMEOUT_S,
        )
    finally:
        client.close()


def _failed(error: rpc.RpcStatusError) -> CommandFailed:
    status = command.ExitStatus.failed
    if error.status == HTTPStatus.CONFLICT:
        status = command.ExitStatus.conflict
    elif error.status == HTTPStatus.NOT_FOUND:
        status = command.ExitStatus.not_found
    elif error.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        status = command.ExitStatus.unavailable
    try:
        refused = decoding.from_json(error.body, expected=RefusalText)
    except msgspec.MsgspecError:
        return CommandFailed(status, str(error))
    return CommandFailed(status, f'{refused.code.value}: {refused.message}')


class RefusalText(msgspec.Struct, frozen=True):
    """Fields of a refusal that a command shows."""

    code: refusal.Code
    message: str
    change_id: ids.ChangeId = ids.ChangeId('')
