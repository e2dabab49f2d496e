"""Run an instance from a directory with the compiled package."""

import sys

from oatcrank.platform import __main__ as platform_main

sys.exit(platform_main.main())
