"""Define a caller's request, independent of the wire protocol."""

import msgspec

from oatcrank import ids
from oatcrank.transport import message


class CallerRequest(msgspec.Struct, kw_only=True):
    """Request to forward, with the fields used for routing.

    timeout_s is how long the caller waits from began_s, in seconds.
    prompt_tokens excludes the prefix that other requests may share, whose parts
    are shared_parts, from the first one on.
    last_event_id is the last event that the caller has of a stream that it
    takes up again; resumed_id is the caller's request that brought the first.
    """

    request_id: ids.RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    headers: message.Headers
    body: bytes
    began_s: float
    timeout_s: float | None
    caller: str
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
    prefix: str = ''
    shared_parts: tuple[ids.PromptPart, ...] = ()
    prompt_tokens: int = 0
    last_event_id: int | None = None
    resumed_id: ids.RequestId | None = None
