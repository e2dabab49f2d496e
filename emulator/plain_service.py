"""State of the plain-service stand-in."""

from emulator import (
    active_faults,
    ledger,
    plain_service_config,
    plain_service_faults,
)


class PlainService:
    """Ledger and faults of one service."""

    def __init__(self, config: plain_service_config.PlainServiceConfig) -> None:
        """Start with an empty ledger."""
        self.config = config
        self.faults = active_faults.ActiveFaults(
            plain_service_faults.PlainServiceFaults()
        )
        self.ledger = ledger.Ledger()
        self.run_count = 0
