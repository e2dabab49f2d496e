"""Run real instances whose paths to the servers are cut one by one.

The first half of the servers belongs to the service of the other tests, and
the second half to another one.
"""

import json

import msgspec
import platform_site

from emulator import platform_store, server_link

OTHER_SERVICE = 'figures'
SERVICES = (platform_site.SERVICE, OTHER_SERVICE)


class _StoreView:
    """The store as one instance sees it, with addresses of its own links."""

    def __init__(self, whole, links) -> None:
        self._whole = whole
        self._links = links

    def __getattr__(self, name):
        return getattr(self._whole, name)

    def items(self):
        return [self._translate(item) for item in self._whole.items()]

    def changes_after(self, revision):
        return [
            self._translate(item)
            for item in self._whole.changes_after(revision)
        ]

    def _translate(self, item):
        server_id = item.key.removeprefix('servers/')
        if item.value is None or server_id not in self._links:
            return item
        entry = json.loads(item.value)
        entry['address'] = f'127.0.0.1:{self._links[server_id].port}'
        return msgspec.structs.replace(item, value=json.dumps(entry).encode())


class CutSite(platform_site.PlatformSite):
    """Site with a link from each instance to each server."""

    def __init__(self, *arguments, **bounds) -> None:
        super().__init__(*arguments, **bounds)
        self._views: list[platform_store.PlatformStoreServer] = []
        self.links: list[dict[str, server_link.ServerLink]] = []

    async def start(self, processes: int) -> None:
        for worker in self.workers:
            await worker.start()
        for _ in range(processes):
            links = {
                target.worker_id: server_link.ServerLink(target.port)
                for target in self.workers
            }
            for link in links.values():
                await link.open()
            self.links.append(links)
            view = platform_store.PlatformStoreServer()
            view.store = _StoreView(self.store.store, links)
            view.start()
            self._views.append(view)
        await super().start(processes)

    def register(self, worker) -> None:
        super().register(worker)
        key = f'servers/{worker.worker_id}'
        entry = json.loads(self.store.store.item_by_key[key].value)
        entry['backend'] = self._service_of(worker)
        self.store.store.put(key, json.dumps(entry).encode())

    def new_process(self, name: str) -> platform_site.Process:
        number = int(name.rpartition('-')[2])
        return platform_site.Process(
            name, self._directory, self._views[number].address, self._bounds
        )

    async def stop(self) -> None:
        await super().stop()
        for links in self.links:
            for link in links.values():
                link.close()
        for view in self._views:
            view.stop()

    def cut(self, instance: int, kind, services) -> None:
        """Cut an instance off from the servers of services."""
        for link in self._links_to(instance, services):
            link.cut(kind)

    async def heal(self, instance: int, services) -> None:
        """Let an instance reach the servers of services again."""
        for link in self._links_to(instance, services):
            await link.open()

    def _links_to(self, instance: int, services):
        return [
            self.links[instance][worker.worker_id]
            for worker in self.workers
            if self._service_of(worker) in services
        ]

    def _service_of(self, worker) -> str:
        number = self.workers.index(worker)
        return SERVICES[2 * number // len(self.workers)]

    def _config(self) -> dict:
        config = super()._config()
        config['backends'].append({'name': OTHER_SERVICE, 'max_conns': 100})
        return config
