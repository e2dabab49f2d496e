"""Site whose entry instances are started one by one."""

import pathlib

from emulator import running_site


class SlopeSite(running_site.RunningSite):
    """Site that writes an entry instance's settings without starting it."""

    def write_settings(self, number: int, port: int) -> pathlib.Path:
        """Write the settings of one entry instance and return the file."""
        return self._write_settings(number, port)
