"""Write the record of a case."""

import pathlib
import time


class Record:
    """Lines of key=value pairs, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record."""
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def write(self, name: str, **fields: object) -> None:
        """Write one line."""
        pairs = ' '.join(f'{key}={text}' for key, text in fields.items())
        at_s = time.monotonic() - self._began_s
        self._file.write(f'{at_s:8.3f} {name} {pairs}\n'.rstrip() + '\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
