"""Hold a caller's request in the project's own terms."""

import msgspec

from oatcrank import ids
from oatcrank.transport import message


class CallerRequest(msgspec.Struct, kw_only=True):
    """Hold what is forwarded and what decides where to.

    deadline_s is how long the caller waits from began_s, in seconds.
    prompt_tokens counts those that no other request shares.
    """

    request_id: ids.RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    headers: message.Headers
    body: bytes
    began_s: float
    deadline_s: float | None
    caller: str
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
    prefix: str = ''
    prompt_tokens: int = 0
    last_event_id: int | None = None
