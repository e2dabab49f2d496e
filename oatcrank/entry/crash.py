"""Describe the crash of one backend server."""

import dataclasses
from collections.abc import Iterable

from oatcrank import ids

DOMAIN_LOSS_WINDOW_S = 2.0


@dataclasses.dataclass(eq=False)
class Crash:
    """Hold when a server crashed and the fingerprints that ran on it.

    cleared: those that have ended well since.
    """

    server: ids.ServerId
    domain: ids.FailureDomain
    at: float
    running: set[int] = dataclasses.field(default_factory=set)
    cleared: set[int] = dataclasses.field(default_factory=set)

    def is_explained(
        self,
        others: Iterable['Crash'],
        fingerprint: int,
    ) -> bool:
        """Tell whether the loss of the domain explains this crash.

        It does if another server of the domain went at the same time without
        the request.
        """
        return any(
            fingerprint not in other.running
            for other in others
            if other.domain == self.domain
            and other.server != self.server
            and abs(other.at - self.at) < DOMAIN_LOSS_WINDOW_S
        )
