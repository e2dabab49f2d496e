"""Ask an entry instance what an operator wants to know or to change."""

import argparse
import asyncio
from http import HTTPStatus
from typing import TypeVar

import msgspec

from oatcrank import errors, ids, refusal, rpc
from oatcrank.commands import command

TIMEOUT_S = 15.0
DEFAULT_ADDRESS = '127.0.0.1:8080'

Answer = TypeVar('Answer')


class CommandFailed(errors.OatcrankError):
    """Report what an operator is to be told, and the exit status."""

    def __init__(self, status: command.ExitStatus, message: str) -> None:
        """Keep the exit status."""
        super().__init__(message)
        self.status = status


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Describe the arguments that every operators' command takes."""
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


def ask(
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
        return msgspec.json.decode(text, type=answer_type)
    except rpc.RpcRefused as error:
        raise _failed(error) from error
    except errors.Unavailable as error:
        raise CommandFailed(
            command.ExitStatus.unavailable,
            f'{error}\nfix: give --address of an instance that runs',
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
    caller = rpc.Rpc()
    try:
        return await caller.fetch(
            address,
            method,
            path,
            body,
            timeout_s=TIMEOUT_S,
        )
    finally:
        caller.close()


def _failed(error: rpc.RpcRefused) -> CommandFailed:
    status = command.ExitStatus.failed
    if error.status == HTTPStatus.CONFLICT:
        status = command.ExitStatus.conflict
    elif error.status == HTTPStatus.NOT_FOUND:
        status = command.ExitStatus.not_found
    elif error.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        status = command.ExitStatus.unavailable
    try:
        told = msgspec.json.decode(error.body, type=RefusalText)
    except msgspec.MsgspecError:
        return CommandFailed(status, str(error))
    return CommandFailed(status, f'{told.code.value}: {told.message}')


class RefusalText(msgspec.Struct, frozen=True):
    """Hold what a command shows of a refusal."""

    code: refusal.Code
    message: str
    change_id: ids.ChangeId = ids.ChangeId('')
