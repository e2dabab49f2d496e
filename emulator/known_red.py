"""Read the list of tests that fail because of a known, unfixed bug."""

import pathlib

FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def entries_of(text: str) -> dict[str, str]:
    """Return the lines of a list by the test id at their start."""
    lines = (line.strip() for line in text.splitlines())
    return {
        line.split(maxsplit=1)[0]: line
        for line in lines
        if line and not line.startswith('#')
    }


def _read() -> dict[str, str]:
    if not FILE.exists():
        return {}
    return entries_of(FILE.read_text(encoding='utf-8'))


ENTRY_BY_TEST = _read()
