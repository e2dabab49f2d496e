"""Read and validate files of JSON with comments."""

import json
import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import jsonc
import jsonschema
import msgspec
import result

MAX_SHOWN_CHARACTERS = 60

Content = TypeVar('Content')
Check = Callable[[Content], Iterable[str]]


def read(
    path: str,
    content_type: type[Content],
    check: Check[Content],
) -> result.Result[Content, str]:
    """Return a file's content, or all its problems as lines of text."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f'{path}: {error}')
    return parse(path, text, content_type, check)


def parse(
    name: str,
    text: str,
    content_type: type[Content],
    check: Check[Content],
) -> result.Result[Content, str]:
    """Return a text's content, or all its problems as lines of text."""
    try:
        raw = jsonc.loads(text)
    except ValueError as error:
        return result.Err(f'{name}: not JSON: {error}')
    problems = list(_find_schema_problems(raw, content_type))
    if problems:
        return _error(name, problems)
    try:
        content = msgspec.convert(raw, content_type)
    except msgspec.ValidationError as error:
        return _error(name, [str(error)])
    problems = list(check(content))
    return _error(name, problems) if problems else result.Ok(content)


def _error(name: str, problems: list[str]) -> result.Err[str]:
    lines = '\n'.join(f'  {problem}' for problem in problems)
    return result.Err(f'{name}:\n{lines}')


def _find_schema_problems(
    raw: object, content_type: type[Any]
) -> Iterator[str]:
    schema = msgspec.json.schema(content_type)
    validator = jsonschema.Draft202012Validator(schema)
    for error in sorted(validator.iter_errors(raw), key=_path):
        yield from _descriptions(error)


def _descriptions(error: Any) -> Iterator[str]:
    if error.context:
        # For a union, report only the alternatives of the right type.
        relevant = [
            nested
            for nested in error.context
            if nested.validator != 'type' or nested.relative_path
        ]
        for nested in relevant or [error.context[0]]:
            yield from _descriptions(nested)
        return
    path = _path(error)
    known = error.schema.get('properties', {})
    match error.validator:
        case 'required':
            # jsonschema reports the missing name only in its message.
            name = error.message.split("'")[1]
            yield f'{_joined(path, name)}: missing; it must be given'
        case 'additionalProperties':
            for name in error.instance:
                if name not in known:
                    yield (
                        f'{_joined(path, name)}: unknown; '
                        + f'allowed here: {", ".join(known)}'
                    )
        case _:
            yield (
                f'{path or "the file"}: found {_shown(error.instance)}; '
                + f'allowed: {_allowed(error)}'
            )


def _path(error: Any) -> str:
    return '.'.join(str(part) for part in error.absolute_path)


def _joined(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _shown(content: object) -> str:
    return json.dumps(content, ensure_ascii=False)[:MAX_SHOWN_CHARACTERS]


def _allowed(error: Any) -> str:
    allowed = error.validator_value
    if isinstance(allowed, list):
        return ', '.join(_shown(alternative) for alternative in allowed)
    return f'{error.validator} {allowed}'
