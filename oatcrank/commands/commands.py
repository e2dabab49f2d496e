"""List the commands of the command line."""

from oatcrank.commands import (
    audit_command,
    check_settings_command,
    command,
    policy_command,
    profile_command,
    replay_command,
    serve_command,
    status_command,
    trace_command,
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
    replay_command.ReplayCommand(),
    policy_command.PolicyCommand(),
    trace_command.TraceCommand(),
    version_command.VersionCommand(),
)
