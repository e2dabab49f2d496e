"""Create, change, retire and look at profiles."""

import argparse
import sys
import uuid
from urllib import parse as url_parse

import msgspec

from oatcrank import errors, ids
from oatcrank.commands import (
    change_table,
    checked_file,
    command,
    operator_client,
    table,
)
from oatcrank.configuration import (
    change,
    operator_messages,
    profile,
    profile_check,
    profile_state,
)

HELP = """\
A profile names a class of work.  Look at it, change its file and send that
with the revision that you looked at:

  oatcrank profile create --file quick.json --who ann
  oatcrank profile show quick
  oatcrank profile change --file quick.json --based-on 7 --who ann
  oatcrank profile retire quick --based-on 9 --who ann

If another operator was first, nothing is changed and the command tells the
current revision.  If the outcome is unknown, repeat the command with the
--change-id that it tells: the change is then made once.
"""

EXAMPLE = """\
{
  // The name that callers pick.
  "name": "quick",
  "models": ["draft-s"],
  "targets": {
    "first_token_ms": 300, "between_tokens_ms": 60, "whole_answer_ms": 9000
  }
}
"""


HELP_BY_ACTION = {
    'create': 'create a profile, or create it again after it was retired',
    'change': 'replace the content of a profile',
    'retire': 'end a profile; its name can be created again',
    'show': 'show a profile with its revision',
    'history': 'list the accepted changes of a profile',
    'list': 'list the profiles in force',
}


class ProfileCommand(command.Command):
    """Be the operators' way to the profiles."""

    name = 'profile'
    summary = 'create, change, retire, show and list profiles'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        parser.formatter_class = argparse.RawDescriptionHelpFormatter
        parser.description = HELP
        parser.epilog = f'A profile file is JSON with comments:\n\n{EXAMPLE}'
        actions = parser.add_subparsers(
            dest='action',
            metavar='ACTION',
            required=True,
        )
        for action, told in HELP_BY_ACTION.items():
            part = actions.add_parser(action, help=told, description=told)
            operator_client.add_arguments(part)
            if action in {'create', 'change'}:
                part.add_argument(
                    '--file',
                    required=True,
                    help='profile, JSON with comments: see `profile --help`',
                )
            elif action != 'list':
                part.add_argument('name', help='the profile')
            if action in {'create', 'change', 'retire'}:
                _add_change_arguments(part)

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Do the work; errors go to standard error with the fix."""
        try:
            answer = _answer(options)
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        except errors.SettingsError as error:
            sys.stderr.write(f'{error}\nfix: mend the file, send it again\n')
            return command.ExitStatus.usage
        if options.output == 'json':
            sys.stdout.write(f'{msgspec.json.encode(answer).decode()}\n')
        else:
            sys.stdout.write(_text(answer))
        return command.ExitStatus.success


def _add_change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--who', required=True, help='your name, for the audit')
    parser.add_argument(
        '--based-on',
        type=int,
        default=0,
        metavar='REVISION',
        help='the revision that `show` told; 0 if there never was one',
    )
    parser.add_argument(
        '--change-id',
        help='only to repeat a change whose outcome is unknown',
    )


def _answer(options: argparse.Namespace) -> msgspec.Struct:
    if options.action == 'list':
        return operator_client.ask(
            options.address,
            'GET',
            '/v1/profiles',
            operator_messages.ProfileList,
        )
    if options.action == 'show':
        return operator_client.ask(
            options.address,
            'GET',
            _path(options.name),
            profile_state.ProfileState,
        )
    if options.action == 'history':
        return operator_client.ask(
            options.address,
            'GET',
            f'{_path(options.name)}/history',
            operator_messages.ChangeList,
        )
    return _change(options)


def _change(options: argparse.Namespace) -> change.Change:
    change_id = ids.ChangeId(options.change_id or uuid.uuid4().hex)
    try:
        if options.action == 'retire':
            return _retire(options, change_id)
        return _write(options, change_id)
    except operator_client.CommandFailed as error:
        if error.status is not command.ExitStatus.unavailable:
            raise
        raise operator_client.CommandFailed(
            error.status,
            f'{error}\nfix: repeat the command with --change-id {change_id}',
        ) from error


def _retire(
    options: argparse.Namespace,
    change_id: ids.ChangeId,
) -> change.Change:
    query = url_parse.urlencode(
        {
            'who': options.who,
            'based_on': options.based_on,
            'change_id': change_id,
        },
    )
    return operator_client.ask(
        options.address,
        'DELETE',
        f'{_path(options.name)}?{query}',
        change.Change,
    )


def _write(
    options: argparse.Namespace,
    change_id: ids.ChangeId,
) -> change.Change:
    content = checked_file.read(
        options.file,
        profile.Profile,
        profile_check.faults,
    ).unwrap_or_raise(errors.SettingsError)
    creates = options.action == 'create'
    return operator_client.ask(
        options.address,
        'POST' if creates else 'PUT',
        '/v1/profiles' if creates else _path(content.name),
        change.Change,
        operator_messages.ChangeRequest(
            who=options.who,
            based_on=ids.Revision(options.based_on),
            change_id=change_id,
            profile=content,
        ),
    )


def _path(name: str) -> str:
    return f'/v1/profiles/{url_parse.quote(name, safe="")}'


def _text(answer: msgspec.Struct) -> str:
    match answer:
        case change.Change():
            return (
                f'accepted; {answer.profile} is at revision {answer.number}\n'
            )
        case operator_messages.ChangeList():
            return change_table.text(answer.changes)
        case operator_messages.ProfileList():
            return table.text(
                ('profile', 'revision', 'who', 'when'),
                (
                    (found.name, found.revision, found.who, found.when)
                    for found in answer.profiles
                ),
            )
        case _:
            shown = msgspec.json.encode(answer)
            return f'{msgspec.json.format(shown).decode()}\n'
