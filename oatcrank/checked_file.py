"""Read a file of JSON with comments and name every fault in it at once."""

import pathlib
from typing import Any, TypeVar

import jsonc
import jsonschema
import msgspec

from oatcrank import errors

Checked = TypeVar('Checked')


def read(path: pathlib.Path, wanted: type[Checked]) -> Checked:
    """Return the file's content; raises errors.SettingsError."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error
    try:
        found = jsonc.loads(text)
    except ValueError as error:
        raise errors.SettingsError(
            f'{path}: not JSON with comments: {error}',
        ) from error
    return checked(found, wanted, name=str(path))


def checked(found: Any, wanted: type[Checked], *, name: str) -> Checked:
    """Return the content as a message; raises errors.SettingsError."""
    schema = msgspec.json.schema(wanted)
    faults = sorted(
        jsonschema.Draft202012Validator(schema).iter_errors(found),
        key=lambda fault: [str(part) for part in fault.absolute_path],
    )
    if faults:
        lines = [f'{name}: {_told(fault)}' for fault in faults]
        raise errors.SettingsError('\n'.join(lines))
    try:
        return msgspec.convert(found, type=wanted)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(f'{name}: {error}') from error


def _told(fault: jsonschema.ValidationError) -> str:
    path = '.'.join(str(part) for part in fault.absolute_path) or '(top)'
    allowed = ''
    if fault.validator == 'additionalProperties':
        known = ', '.join(sorted(fault.schema.get('properties', ())))
        allowed = f'; known fields: {known}'
    elif fault.validator == 'required':
        needed = ', '.join(fault.validator_value)
        allowed = f'; required fields: {needed}'
    return f'{path}: {fault.message}{allowed}'
