"""Create, change, retire and show profiles."""

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
    profile_state,
    profile_validation,
)

HELP = """\
A profile defines a class of requests.  To change one, show it, edit its file
and send the file with the revision that was shown:

  oatcrank profile create --file quick.json --who ann
  oatcrank profile show quick
  oatcrank profile change --file quick.json --based-on 7 --who ann
  oatcrank profile retire quick --based-on 9 --who ann

If another operator changed it meanwhile, nothing is changed and the command
prints the current revision.  If the outcome is unknown, repeat the command with
the --change-id that it prints: the change is then made only once.
"""

EXAMPLE = """\
{
  // The name that callers use.
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
    """Manage profiles."""

    name = 'profile'
    summary = 'create, change, retire, show and list profiles'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.formatter_class = argparse.RawDescriptionHelpFormatter
        parser.description = HELP
        parser.epilog = f'A profile file is JSON with comments:\n\n{EXAMPLE}'
        actions = parser.add_subparsers(
            dest='action',
            metavar='ACTION',
            required=True,
        )
        for action, help_text in HELP_BY_ACTION.items():
            action_parser = actions.add_parser(
                action,
                help=help_text,
                description=help_text,
            )
            operator_client.add_arguments(action_parser)
            if action in {'create', 'change'}:
                action_parser.add_argument(
                    '--file',
                    required=True,
                    help='profile, JSON with comments: see `profile --help`',
                )
            elif action != 'list':
                action_parser.add_argument('name', help='name of the profile')
            if action in {'create', 'change', 'retire'}:
                _add_change_arguments(action_parser)

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Run the action; write errors and their fix to standard error."""
        try:
            answer = _run_action(options)
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        except errors.SettingsError as error:
            sys.stderr.write(f'{error}\nfix: correct the file and retry\n')
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
        help='the revision that `show` printed; 0 if there never was one',
    )
    parser.add_argument(
        '--change-id',
        help='only to repeat a change whose outcome is unknown',
    )


def _run_action(options: argparse.Namespace) -> msgspec.Struct:
    if options.action == 'list':
        return operator_client.call(
            options.address,
            'GET',
            '/v1/profiles',
            operator_messages.ProfileList,
        )
    if options.action == 'show':
        return operator_client.call(
            options.address,
            'GET',
            _path(options.name),
            profile_state.ProfileState,
        )
    if options.action == 'history':
        return operator_client.call(
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
    return operator_client.call(
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
        profile_validation.find_problems,
    ).unwrap_or_raise(errors.SettingsError)
    creates = options.action == 'create'
    return operator_client.call(
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
                    (listed.name, listed.revision, listed.who, listed.when)
                    for listed in answer.profiles
                ),
            )
        case _:
            shown = msgspec.json.encode(answer)
            return f'{msgspec.json.format(shown).decode()}\n'
