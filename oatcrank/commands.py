"""List the commands of the command line."""

from oatcrank import (
    check_settings_command,
    command,
    policy_command,
    replay_command,
    serve_command,
    trace_command,
    version_command,
)

ALL: tuple[command.Command, ...] = (
    serve_command.ServeCommand(),
    check_settings_command.CheckSettingsCommand(),
    replay_command.ReplayCommand(),
    policy_command.PolicyCommand(),
    trace_command.TraceCommand(),
    version_command.VersionCommand(),
)
