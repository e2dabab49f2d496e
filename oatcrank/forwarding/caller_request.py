"""Define a caller's request, independent of the wire protocol."""

import msgspec

from oatcrank import ids
from oatcrank.transport import message


class CallerRequest(msgspec.Struct, kw_only=True):
    """Request to forward, with the fields used for routing.

    timeout_s is how long the caller waits from began_s, in seconds.
    prompt_tokens excludes the prefix that other requests may share, whose parts
    are shared_parts, from the first one on.
    key is the key that the caller presents, or None if it presents none or a
    malformed one; organisation is the one that holds it, once it was checked.
    relayed: another instance sends it for a caller; earlier_sends counts the
        sends of it that have reached servers before.
    tokens counts the prompt and the longest answer, if the caller states them.
    last_event_id is the last event that the caller has of a stream that it
    takes up again; resumed_id is the caller's request that brought the first.
    names_unreadable_event: it names its last event in a way that can't be read,
        so that a stream can't go on after it.
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
    tokens: int | None = None
    relayed: bool = False
    earlier_sends: int = 0
    key: bytes | None = None
    organisation: ids.OrganisationName | None = None
    last_event_id: int | None = None
    names_unreadable_event: bool = False
    resumed_id: ids.RequestId | None = None

    def deadline_s(self, max_s: float) -> float:
        """Return when the caller gives up, or max_s after it began."""
        if self.timeout_s is None:
            return self.began_s + max_s
        return self.began_s + min(max_s, self.timeout_s)
