"""Start the processes of a site."""

import asyncio
import pathlib

import msgspec

from emulator import (
    instance_list_config,
    key_value_config,
    launched_process,
    launcher,
    site,
    site_configs,
    site_pool,
    stand_in,
)
from oatcrank import ids
from oatcrank.membership import instance_list
from oatcrank.settings import listen_settings, platform_settings, settings

KEY_VALUE_WRITES_PER_S = 400
KEY_VALUE_READS_PER_S = 2000
KEY_VALUE_ANSWER_MS = 2
LIST_LAG_S = 1


class RunningSite:
    """Processes of one site; the launcher ends them."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        site_config: site.Site,
        directory: pathlib.Path,
    ) -> None:
        """Set the site; settings files are written to the directory."""
        self.site = site_config
        self.engine_by_id: dict[str, launched_process.LaunchedProcess] = {}
        self.service_by_name: dict[str, launched_process.LaunchedProcess] = {}
        self.entries: list[launched_process.LaunchedProcess] = []
        self.key_value: launched_process.LaunchedProcess
        self.weight_store: launched_process.LaunchedProcess
        self.instance_list: launched_process.LaunchedProcess
        self._launcher = process_launcher
        self._directory = directory
        self._listed_instances: list[instance_list.Instance] = []

    async def start_platform_and_servers(self, entry_ports: list[int]) -> None:
        """Start the platform and the backend servers; raises LaunchError."""
        self.key_value = await self._launcher.start_stand_in(
            'key-value',
            key_value_config.KeyValueConfig(
                writes_per_s=KEY_VALUE_WRITES_PER_S,
                reads_per_s=KEY_VALUE_READS_PER_S,
                answer_ms=KEY_VALUE_ANSWER_MS,
            ),
        )
        self.weight_store = await self._launcher.start_stand_in(
            'weight-store', site_configs.weight_store_of(self.site)
        )
        for pool in self.site.pools:
            await self._start_pool(pool)
        self._add_listed_entries(entry_ports)
        self.instance_list = await self._launcher.start_stand_in(
            'instance-list',
            instance_list_config.InstanceListConfig(
                lag_s=LIST_LAG_S, instances=tuple(self._listed_instances)
            ),
        )

    async def start_entries(self, entry_ports: list[int]) -> None:
        """Start an entry instance on each port; raises LaunchError."""
        files = [
            self._write_settings(number, port)
            for number, port in enumerate(entry_ports, start=1)
        ]
        self.entries = list(
            await asyncio.gather(*map(self._launcher.start_entry, files))
        )

    async def _start_pool(self, pool: site_pool.SitePool) -> None:
        configs = site_configs.engines_of(pool, self.weight_store.address)
        engines = await asyncio.gather(
            *(
                self._launcher.start_stand_in(
                    'engine', config, name=config.server_id
                )
                for config in configs
            ),
        )
        for engine in engines:
            self.engine_by_id[engine.name] = engine
            self._add_listed(engine, instance_list.Kind.engine, pool.name)
        if pool.service:
            await self._start_service(pool)

    async def _start_service(self, pool: site_pool.SitePool) -> None:
        config = site_configs.service_of(pool)
        service = await self._launcher.start_stand_in(
            'plain-service', config, name=config.server_id
        )
        self.service_by_name[pool.service] = service
        self._add_listed(service, instance_list.Kind.service, pool.service)

    def _add_listed(
        self,
        process: launched_process.LaunchedProcess,
        kind: instance_list.Kind,
        pool: str,
    ) -> None:
        domains = self.site.failure_domains
        self._listed_instances.append(
            instance_list.Instance(
                instance_id=process.name,
                kind=kind,
                address=process.address,
                failure_domain=domains[
                    len(self._listed_instances) % len(domains)
                ],
                pool=ids.PoolName(pool),
            ),
        )

    def _add_listed_entries(self, entry_ports: list[int]) -> None:
        for number, port in enumerate(entry_ports, start=1):
            entry = self._entry_settings(number, port, '')
            self._listed_instances.append(
                instance_list.Instance(
                    instance_id=entry.instance_id,
                    kind=instance_list.Kind.entry,
                    address=entry.address,
                    failure_domain=entry.failure_domain,
                ),
            )

    def _write_settings(self, number: int, port: int) -> pathlib.Path:
        entry = self._entry_settings(number, port, self.instance_list.address)
        path = self._directory / f'{entry.instance_id}.json'
        path.write_bytes(
            msgspec.json.format(msgspec.json.encode(entry), indent=2)
        )
        return path

    def _entry_settings(
        self,
        number: int,
        port: int,
        list_address: str,
    ) -> settings.Settings:
        return site_configs.entry_of(
            self.site,
            number,
            listen_settings.ListenSettings(host=stand_in.HOST, port=port),
            platform_settings.PlatformSettings(
                key_value=self.key_value.address,
                instance_list=list_address,
                weight_store=self.weight_store.address,
            ),
        )
