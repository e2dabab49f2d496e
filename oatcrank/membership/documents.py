"""Store named documents that instances replicate by version."""

from collections.abc import Callable, Iterable

import xxhash

from oatcrank.membership import document

Listener = Callable[[document.Document], None]


class Documents:
    """Store the newest known version of each document."""

    def __init__(self) -> None:
        """Start without documents."""
        self._document_by_name: dict[str, document.Document] = {}
        self._forgotten_version_by_name: dict[str, int] = {}
        self._listeners_by_prefix: dict[str, list[Listener]] = {}
        self._digest: str | None = None

    @property
    def digest(self) -> str:
        """Return a hash of every name and version."""
        if self._digest is None:
            pairs = sorted(self.version_by_name.items())
            self._digest = xxhash.xxh3_64_hexdigest(repr(pairs).encode())
        return self._digest

    @property
    def version_by_name(self) -> dict[str, int]:
        """Return the version of each document."""
        return {
            name: stored.version
            for name, stored in self._document_by_name.items()
        }

    def get(self, name: str) -> document.Document | None:
        """Return a document, or None."""
        return self._document_by_name.get(name)

    def with_prefix(self, prefix: str) -> tuple[document.Document, ...]:
        """Return the documents with a name prefix, ordered by name."""
        return tuple(
            self._document_by_name[name]
            for name in sorted(self._document_by_name)
            if name.startswith(prefix)
        )

    def put(self, name: str, version: int, text: str) -> bool:
        """Store a document if its version is newer; return whether it was."""
        if version <= self._known_version(name):
            return False
        newer = document.Document(name=name, version=version, text=text)
        self._document_by_name[name] = newer
        self._forgotten_version_by_name.pop(name, None)
        self._digest = None
        for prefix, listeners in self._listeners_by_prefix.items():
            if name.startswith(prefix):
                _notify(listeners, newer)
        return True

    def forget(self, name: str) -> None:
        """Remove a document; only a newer version of it is stored again."""
        removed = self._document_by_name.pop(name, None)
        if removed is not None:
            self._forgotten_version_by_name[name] = removed.version
            self._digest = None

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call a listener with each newer document with a name prefix."""
        self._listeners_by_prefix.setdefault(prefix, []).append(listener)

    def newer_than(
        self,
        version_by_name: dict[str, int],
    ) -> tuple[document.Document, ...]:
        """Return the documents that are newer than the given versions."""
        return tuple(
            stored
            for name, stored in self._document_by_name.items()
            if stored.version > version_by_name.get(name, 0)
        )

    def outdated_names(
        self, version_by_name: dict[str, int]
    ) -> tuple[str, ...]:
        """Return the names with a given version above the stored one."""
        return tuple(
            name
            for name, version in version_by_name.items()
            if version > self._known_version(name)
        )

    def select(self, names: Iterable[str]) -> tuple[document.Document, ...]:
        """Return the stored documents among the given names."""
        return tuple(
            self._document_by_name[name]
            for name in names
            if name in self._document_by_name
        )

    def _known_version(self, name: str) -> int:
        stored = self._document_by_name.get(name)
        if stored is None:
            return self._forgotten_version_by_name.get(name, 0)
        return stored.version


def _notify(listeners: list[Listener], newer: document.Document) -> None:
    for listener in listeners:
        listener(newer)
