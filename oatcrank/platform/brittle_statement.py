"""Decode what servers say when they are brittle."""

import math

from oatcrank import logs

BRITTLE = b'server-brittle'


def max_rejections_per_s(text: bytes | None) -> float | None:
    """Decode the rejections a second that a server outlasts; None if absent.

    A number that can't be decoded is logged and counts as absent.
    """
    if text is None:
        return None
    try:
        rejections_per_s = float(text)
    except ValueError as error:
        logs.event('server_brittle_malformed', error=error)
        return None
    if not (math.isfinite(rejections_per_s) and rejections_per_s >= 0):
        logs.event(
            'server_brittle_malformed', error=f'{rejections_per_s} is no rate'
        )
        return None
    return rejections_per_s
