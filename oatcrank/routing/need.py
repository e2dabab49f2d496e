"""What a request needs a backend server to hold."""

import msgspec

from oatcrank import ids


class Need(msgspec.Struct, frozen=True):
    """A model of a service, and one of its adapters if needed."""

    service: ids.ServiceName
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
