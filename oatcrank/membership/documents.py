"""Hold named documents whose versions only rise."""

from collections.abc import Callable, Iterable

import xxhash

from oatcrank.membership import document

Listener = Callable[[document.Document], None]


class Documents:
    """Keep the newest version of each document that any peer has."""

    def __init__(self) -> None:
        """Start empty."""
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
            name: found.version
            for name, found in self._document_by_name.items()
        }

    def get(self, name: str) -> document.Document | None:
        """Return a document, or None."""
        return self._document_by_name.get(name)

    def named(self, prefix: str) -> tuple[document.Document, ...]:
        """Return the documents whose names start so, ordered by name."""
        return tuple(
            self._document_by_name[name]
            for name in sorted(self._document_by_name)
            if name.startswith(prefix)
        )

    def put(self, name: str, version: int, text: str) -> bool:
        """Take a document if its version is newer, and say whether it was."""
        found = self._document_by_name.get(name)
        known = self._forgotten_version_by_name.get(name, 0)
        if found is not None:
            known = found.version
        if version <= known:
            return False
        newer = document.Document(name=name, version=version, text=text)
        self._document_by_name[name] = newer
        self._forgotten_version_by_name.pop(name, None)
        self._digest = None
        for prefix, listeners in self._listeners_by_prefix.items():
            if name.startswith(prefix):
                _call(listeners, newer)
        return True

    def forget(self, name: str) -> None:
        """Drop a document; only a newer version of it is taken again."""
        found = self._document_by_name.pop(name, None)
        if found is not None:
            self._forgotten_version_by_name[name] = found.version
            self._digest = None

    def on_newer(self, prefix: str, listener: Listener) -> None:
        """Call a listener with each newer document named so."""
        self._listeners_by_prefix.setdefault(prefix, []).append(listener)

    def newer_than(
        self,
        version_by_name: dict[str, int],
    ) -> tuple[document.Document, ...]:
        """Return what is newer here than the versions given."""
        return tuple(
            found
            for name, found in self._document_by_name.items()
            if found.version > version_by_name.get(name, 0)
        )

    def wanted(self, version_by_name: dict[str, int]) -> tuple[str, ...]:
        """Return the names whose versions given are newer than those here."""
        return tuple(
            name
            for name, version in version_by_name.items()
            if version > self._known(name)
        )

    def select(self, names: Iterable[str]) -> tuple[document.Document, ...]:
        """Return the documents of these names that exist."""
        found = (self.get(name) for name in names)
        return tuple(one for one in found if one is not None)

    def _known(self, name: str) -> int:
        found = self._document_by_name.get(name)
        if found is None:
            return self._forgotten_version_by_name.get(name, 0)
        return found.version


def _call(listeners: list[Listener], newer: document.Document) -> None:
    for listener in listeners:
        listener(newer)
