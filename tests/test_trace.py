"""Test that traces survive a round trip and that errors name the line."""

import pathlib

import pytest

from emulator.replaying import trace, trace_event, trace_generator


@pytest.mark.parametrize('site', trace_generator.SITES)
@pytest.mark.parametrize('pattern', ['quiet', 'adapter_wave'])
def test_round_trip(site: str, pattern: str, tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'trace.jsonl'
    recorded = trace_generator.generate(site, pattern, 5)
    event = trace_event.Event(
        at=recorded.arrivals[10].at,
        event=trace_event.EventKind.fault,
        subject=recorded.header.failure_domains[0],
        body={'down': True},
    )
    recorded = trace.Trace(
        header=recorded.header,
        arrivals=recorded.arrivals,
        events=(event,),
    )
    trace.write(path, recorded)
    assert trace.read(path) == recorded
    assert recorded == trace.Trace(
        header=recorded.header,
        arrivals=trace_generator.generate(site, pattern, 5).arrivals,
        events=(event,),
    )


ARRIVAL = (
    '{"at":1,"profile":"bookings","model":"wordbay-m0","prompt":1,"answer":1}'
)


@pytest.mark.parametrize(
    ('lines', 'error'),
    [
        ([], 'line 1: the header is missing'),
        (['{}'], 'line 1: Object missing required field `format`'),
        (['header', ARRIVAL[:-1]], 'line 2: Input data was truncated'),
        (['header', ARRIVAL.replace('bookings', 'x')], 'unknown profile x'),
        (['header', ARRIVAL.replace('wordbay-m0', 'x')], 'unknown model x'),
        (['header', ARRIVAL[:-1] + ',"adapter":"x"}'], 'unknown adapter x'),
        (['header', ARRIVAL[:-1] + ',"more":1}'], 'unknown field `more`'),
        (['header', ARRIVAL.replace('"answer":1', '"answer":0')], 'a token'),
        (['header', ARRIVAL, ARRIVAL.replace('1,', '0,', 1)], 'line 3: at 0'),
        (
            ['header', '{"at":1,"event":"x","subject":"entry","body":{}}'],
            "Invalid enum value 'x'",
        ),
    ],
)
def test_invalid_lines(
    lines: list[str],
    error: str,
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / 'trace.jsonl'
    trace.write(path, trace_generator.generate('yard', 'quiet', 5))
    header = path.read_text().splitlines()[0]
    path.write_text('\n'.join(lines).replace('header', header, 1))
    with pytest.raises(trace.TraceError, match=error):
        trace.read(path)


def test_absent_file(tmp_path: pathlib.Path) -> None:
    with pytest.raises(trace.TraceError, match='No such file'):
        trace.read(tmp_path / 'none')
