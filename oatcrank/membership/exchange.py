"""Define the messages of an exchange between two instances."""

import msgspec

from oatcrank.membership import document, member

PROTOCOL_VERSION = 1


class Heartbeat(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Heartbeat count of one incarnation of an instance."""

    incarnation: int
    count: int


class Exchange(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Heartbeats and document digest of the sender.

    version_by_name is sent only if the digests differ. If both ends track the
    same incarnations, as equal vector digests show, counts holds the heartbeat
    counts in the order of the instance ids and heartbeat_by_id is empty.
    """

    protocol: int
    sender: member.Member
    vector_digest: str = msgspec.field(name='roll')
    newest_change: int
    digest: str
    counts: tuple[int, ...] = ()
    heartbeat_by_id: dict[str, Heartbeat] = msgspec.field(
        name='beat_by_id',
        default_factory=dict,
    )
    version_by_name: dict[str, int] | None = None


class DocumentExchange(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Documents of the sender, and the names of those it requests."""

    documents: tuple[document.Document, ...] = ()
    wanted: tuple[str, ...] = ()
