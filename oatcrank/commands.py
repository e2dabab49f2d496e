"""List the commands of the command line."""

from oatcrank import command, version_command

ALL: tuple[command.Command, ...] = (version_command.VersionCommand(),)
