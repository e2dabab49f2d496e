"""Crash of one backend server."""

import dataclasses
from collections.abc import Iterable

from oatcrank import ids

# Servers that crash within this time may have a common cause.
COMMON_CAUSE_WINDOW_S = 2.0


@dataclasses.dataclass(eq=False)
class Crash:
    """Hold when a server crashed and which requests were running on it.

    running: fingerprints of the requests that were running.
    cleared: those of them that have completed since.
    """

    server: ids.ServerId
    domain: ids.FailureDomain
    crashed_at: float
    running: set[int] = dataclasses.field(default_factory=set)
    cleared: set[int] = dataclasses.field(default_factory=set)

    def is_domain_loss(
        self,
        others: Iterable['Crash'],
        fingerprint: int,
    ) -> bool:
        """Return whether the loss of the failure domain explains the crash.

        It does if another server of the domain crashed at about the same time
        without running the request.
        """
        return any(
            fingerprint not in other.running
            for other in others
            if other.domain == self.domain
            and other.server != self.server
            and abs(other.crashed_at - self.crashed_at) < COMMON_CAUSE_WINDOW_S
        )
