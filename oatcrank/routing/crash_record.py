"""Remember which requests were cut off by servers that may have crashed."""

import collections

import xxhash

CRASHES_TO_REFUSE = 3
REMEMBERED_S = 60.0
REMEMBERED_REQUESTS = 4096


class CrashRecord:
    """Count interruptions by a request's fingerprint."""

    def __init__(self) -> None:
        """Suspect nothing."""
        self._times_by_print: collections.OrderedDict[int, list[float]] = (
            collections.OrderedDict()
        )

    def note(self, fingerprint: int, now_s: float) -> None:
        """Count an interruption, seen here or told by another instance."""
        known = self._times_by_print.setdefault(fingerprint, [])
        known.append(now_s)
        self._times_by_print.move_to_end(fingerprint)
        while len(self._times_by_print) > REMEMBERED_REQUESTS:
            self._times_by_print.popitem(last=False)

    def clear(self, fingerprint: int) -> None:
        """Forget a request that has ended well."""
        self._times_by_print.pop(fingerprint, None)

    def is_refused(self, fingerprint: int, now_s: float) -> bool:
        """Tell whether a request was cut off too often."""
        known = self._times_by_print.get(fingerprint)
        if known is None:
            return False
        recent = [one for one in known if now_s - one < REMEMBERED_S]
        return len(recent) >= CRASHES_TO_REFUSE


def fingerprint(path: bytes, caller: str, body: bytes) -> int:
    """Return what a request keeps when its caller sends it again."""
    return xxhash.xxh3_64_intdigest(
        b'\0'.join((path, caller.encode(), body)),
    )
