"""Carry what two instances tell each other in every exchange."""

import msgspec

from oatcrank.membership import document, member

PROTOCOL_VERSION = 1


class Beat(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Hold how often an incarnation has beaten, for its failure detector."""

    incarnation: int
    count: int


class Exchange(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Push the sender's news; versions come only where digests differ.

    Where both ends count the same incarnations, which their rolls tell,
    counts holds the beats in the order of the instance ids.
    """

    protocol: int
    sender: member.Member
    roll: str
    newest_change: int
    digest: str
    counts: tuple[int, ...] = ()
    beat_by_id: dict[str, Beat] = {}
    version_by_name: dict[str, int] | None = None


class DocumentExchange(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Push documents and name those wanted in return."""

    documents: tuple[document.Document, ...] = ()
    wanted: tuple[str, ...] = ()
