"""Name what a request needs a backend server to hold."""

import msgspec

from oatcrank import ids


class Need(msgspec.Struct, frozen=True):
    """Name a model of a service, and an adapter of it if one is needed."""

    service: ids.ServiceName
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
