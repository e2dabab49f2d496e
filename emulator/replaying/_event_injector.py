"""Inject a trace's faults and changes while it is replayed."""

import asyncio

import msgspec

from emulator.replaying import _engine_monitor, trace_event
from oatcrank import errors, rpc
from oatcrank.settings import settings

TIMEOUT_S = 5.0


class EventInjector:
    """Post each event's body to its subject."""

    def __init__(
        self,
        instance_settings: settings.Settings,
        monitor: _engine_monitor.EngineMonitor,
    ) -> None:
        """Look up subjects in the settings and the instance list."""
        self._monitor = monitor
        self._rpc = rpc.Rpc()
        self._address_by_subject = {
            'key_value': instance_settings.platform.key_value,
            'instance_list': instance_settings.platform.instance_list,
            'weight_store': instance_settings.platform.weight_store,
            'entry': instance_settings.address,
        }

    async def inject(self, event: trace_event.Event) -> str:
        """Post an event; return the error, or an empty string."""
        try:
            addresses = await self._addresses(event.subject)
            await asyncio.gather(
                *(self._post(address, event) for address in addresses),
            )
        except errors.OatcrankError as error:
            return f'{event.subject} at {event.at} s: {error}'
        if not addresses:
            return f'{event.subject} at {event.at} s: unknown subject'
        return ''

    def close(self) -> None:
        """Close all connections."""
        self._rpc.close()

    async def _addresses(self, subject: str) -> list[str]:
        address = self._address_by_subject.get(subject)
        if address is not None:
            return [address]
        return [
            instance.address
            for instance in await self._monitor.engines()
            if instance.failure_domain == subject
        ]

    async def _post(self, address: str, event: trace_event.Event) -> None:
        await self._rpc.fetch(
            address,
            'POST',
            event.path,
            msgspec.json.encode(event.body),
            timeout_s=TIMEOUT_S,
        )
