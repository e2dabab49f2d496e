"""Measure the cost of applying configuration changes and snapshots."""

import functools
from collections.abc import Callable, Iterator

import msgspec

from emulator import (
    memory_key_value,
    slope,
    slope_fit,
    slope_memory,
    slope_timing,
)
from oatcrank import clock, ids
from oatcrank.configuration import (
    change,
    change_log,
    profile,
    profile_index,
    snapshot,
    target,
)

COMMAND = 'python -m emulator slopes --only changes'
CHANGES = (10, 100, 1000)
PROFILES = (10, 100, 300, 1200)
SEGMENT_CHANGES = 200
FIRST_TOKEN_MS = 520
BETWEEN_TOKENS_MS = 43
WHOLE_ANSWER_MS = 30_000
TARGETS = target.Targets(
    first_token_ms=FIRST_TOKEN_MS,
    between_tokens_ms=BETWEEN_TOKENS_MS,
    whole_answer_ms=WHOLE_ANSWER_MS,
)

Workload = Callable[[], object]


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slopes of changes, snapshots and the profile index."""
    repeats = slope_timing.QUICK_REPEATS if quick else slope_timing.REPEATS
    yield slope_fit.fit(
        'change_apply',
        slope_timing.measure_sizes(CHANGES, _prepare_apply, repeats=repeats),
        unit='us',
        per='change',
        command=COMMAND,
        condition='decoded and applied in a row',
    )
    yield slope_fit.fit(
        'snapshot_bytes',
        [
            slope.point(size, [len(_prepare_encode(size)())])
            for size in PROFILES
        ],
        unit='B',
        per='profile',
        command=COMMAND,
        condition='3 models and 2 adapters a profile',
    )
    yield slope_fit.fit(
        'snapshot_encode',
        slope_timing.measure_sizes(PROFILES, _prepare_encode, repeats=repeats),
        unit='us',
        per='profile',
        command=COMMAND,
    )
    yield slope_fit.fit(
        'book_rebuild',
        slope_timing.measure_sizes(PROFILES, _prepare_rebuild, repeats=repeats),
        unit='us',
        per='profile',
        command=COMMAND,
        condition='made anew at each change applied',
    )
    yield slope_fit.fit(
        'profile_memory',
        slope_memory.measure_sizes(PROFILES, _prepare_restore),
        unit='B',
        per='profile',
        command=COMMAND,
        condition='3 models and 2 adapters a profile',
    )
    text = change_log.encode_record(_change(PROFILES[-1] + 1))
    yield slope_fit.fit(
        'change_bytes',
        [slope.point(1, [len(text)])],
        unit='B',
        per='change',
        command=COMMAND,
    )


def _prepare_apply(changes: int) -> Workload:
    texts = [
        change_log.encode_record(_change(number + 1))
        for number in range(changes)
    ]
    return functools.partial(_apply, texts)


def _prepare_encode(profiles: int) -> Callable[[], bytes]:
    log = _log_with_profiles(profiles)
    return lambda: msgspec.json.encode(log.take_snapshot())


def _prepare_rebuild(profiles: int) -> Workload:
    profiles_to_index = _log_with_profiles(profiles).profile_by_name.values()
    return lambda: profile_index.ProfileIndex().rebuild(profiles_to_index)


def _prepare_restore(profiles: int) -> Workload:
    text = msgspec.json.encode(_log_with_profiles(profiles).take_snapshot())

    def build() -> change_log.ChangeLog:
        log = _empty_log()
        log.restore(msgspec.json.decode(text, type=snapshot.Snapshot))
        return log

    return build


def _empty_log() -> change_log.ChangeLog:
    return change_log.ChangeLog(
        memory_key_value.MemoryKeyValue(),
        segment_changes=SEGMENT_CHANGES,
        clock=clock.MonotonicClock(),
    )


def _apply(texts: list[str]) -> None:
    log = _empty_log()
    for text in texts:
        log.apply(change_log.decode_record(text))


def _log_with_profiles(profiles: int) -> change_log.ChangeLog:
    log = _empty_log()
    for number in range(profiles):
        log.apply(_change(number + 1))
    return log


def _change(number: int) -> change.Change:
    index = (number - 1) % PROFILES[-1]
    new_profile = _profile(index)
    is_new = number <= PROFILES[-1]
    kind = change.ChangeKind.create if is_new else change.ChangeKind.change
    return change.Change(
        number=number,
        change_id=ids.ChangeId(f'{number:032}'),
        who='operator-1',
        when='2026-01-01T00:00:00Z',
        kind=kind,
        profile=new_profile.name,
        before=None if is_new else new_profile,
        after=new_profile,
        based_on=ids.Revision(0 if is_new else index + 1),
    )


def _profile(index: int) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(f'profile-{index:04}'),
        models=tuple(
            ids.ModelName(f'model-{index + offset:04}') for offset in range(3)
        ),
        adapters=(
            ids.AdapterName(f'adapter-{index:04}'),
            ids.AdapterName(f'adapter-{index + 1:04}'),
        ),
        targets=TARGETS,
    )
