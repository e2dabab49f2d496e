"""Let measured entry processes be started one by one."""

import pathlib

from emulator import running_site


class SlopeSite(running_site.RunningSite):
    """Write an entry instance's settings without starting it."""

    def write_settings(self, number: int, port: int) -> pathlib.Path:
        """Return the file with the settings of one entry instance."""
        return self._write_settings(number, port)
