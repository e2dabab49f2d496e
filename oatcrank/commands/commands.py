"""List the commands of the command line."""

from oatcrank.commands import (
    audit_command,
    check_settings_command,
    command,
    profile_command,
    serve_command,
    status_command,
    version_command,
)
from oatcrank.platform import platform_command

ALL: tuple[command.Command, ...] = (
    serve_command.ServeCommand(),
    platform_command.PlatformCommand(),
    profile_command.ProfileCommand(),
    status_command.StatusCommand(),
    audit_command.AuditCommand(),
    check_settings_command.CheckSettingsCommand(),
    version_command.VersionCommand(),
)
