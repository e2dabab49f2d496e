"""Define the settings of one entry instance."""

from oatcrank import ids
from oatcrank.settings import (
    claims_settings,
    configuration_settings,
    control_settings,
    limits_settings,
    listen_settings,
    membership_settings,
    platform_settings,
    policy_settings,
    section,
    statsd_settings,
    weight_store_settings,
)


class Settings(section.Section, frozen=True, kw_only=True):
    """All settings of one entry instance."""

    instance_id: ids.InstanceId
    failure_domain: ids.FailureDomain
    listen: listen_settings.ListenSettings
    platform: platform_settings.PlatformSettings
    weight_store: weight_store_settings.WeightStoreSettings
    membership: membership_settings.MembershipSettings = (
        membership_settings.MembershipSettings()
    )
    configuration: configuration_settings.ConfigurationSettings = (
        configuration_settings.ConfigurationSettings()
    )
    claims: claims_settings.ClaimsSettings = claims_settings.ClaimsSettings()
    control: control_settings.ControlSettings = (
        control_settings.ControlSettings()
    )
    policy: policy_settings.PolicySettings = policy_settings.PolicySettings()
    limits: limits_settings.LimitsSettings = limits_settings.LimitsSettings()
    statsd: statsd_settings.StatsdSettings | None = None

    @property
    def address(self) -> str:
        """Return this instance's own address as `ip:port`."""
        return f'{self.listen.host}:{self.listen.port}'
