"""Drill in which the store comes back from an older copy."""

import asyncio

from lab import record, server, store

AWAY_S = 1.0


async def return_from_copy(
    kept: store.Store,
    older: store.Contents,
    servers: list[server.Server],
    written: record.Record,
    configuration: dict | None = None,
) -> None:
    """Let the store be away, and come back from an older copy."""
    lost = {
        item.key
        for item in kept.contents.history
        if item.revision > older.revision
    }
    written.write(
        'store_away',
        revision=kept.contents.revision,
        copy_revision=older.revision,
        lost_keys=len(lost),
    )
    kept.is_away = True
    kept.cut_connections()
    await asyncio.sleep(AWAY_S)
    kept.return_from(older)
    kept.is_away = False
    written.write('store_back', revision=kept.contents.revision, era=kept.era)
    # What the operator and the servers wrote since is written again.
    if configuration is not None and 'op/config' in lost:
        kept.put('op/config', configuration)
    for known in servers:
        if known.key in lost:
            known.register()
