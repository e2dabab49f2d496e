"""Remember which software versions each service has had."""

from oatcrank import ids


class VersionHistory:
    """When a server of each service and software version was last seen."""

    def __init__(self) -> None:
        """Start without servers."""
        self._seen_s_by_version_by_service: dict[
            ids.ServiceName, dict[ids.SoftwareVersion, float]
        ] = {}

    def record(
        self,
        service: ids.ServiceName,
        version: ids.SoftwareVersion,
        now_s: float,
    ) -> None:
        """Record that a server is registered, or was until now."""
        self._seen_s_by_version_by_service.setdefault(service, {})[version] = (
            now_s
        )

    def versions_since(
        self, service: ids.ServiceName, since_s: float
    ) -> set[ids.SoftwareVersion]:
        """Return the versions seen at or after a time."""
        seen_s_by_version = self._seen_s_by_version_by_service.get(service, {})
        return {
            version
            for version, seen_s in seen_s_by_version.items()
            if seen_s >= since_s
        }
