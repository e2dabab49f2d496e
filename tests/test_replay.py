"""Test replays against a small HTTP server with scripted answers."""

import asyncio
import json

import msgspec
import pytest
import xxhash
from tornado import httpserver, netutil, web

from emulator.replaying import (
    policy_score,
    replay,
    trace,
    trace_event,
    trace_generator,
)
from oatcrank import ids
from oatcrank.settings import (
    listen_settings,
    platform_settings,
    settings,
    weight_store_settings,
)

HOST = '127.0.0.1'
HEADER = trace_generator.generate('yard', 'quiet', 7).header


class Addresses(web.RequestHandler):
    def get(self) -> None:
        assert self.get_query_argument('profile') == HEADER.profiles[0].name
        self.write({'addresses': [self.request.host], 'keep_s': 60})


class Completions(web.RequestHandler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        assert self.request.headers['X-Oatcrank-Profile']
        case = body.get('prefix_id', '')
        if case in ('did_not_run', 'may_have_run'):
            self.set_status(503)
            self.write(
                {'code': 'not_in_time', 'message': '', 'run_state': case},
            )
            return
        texts = [f'word{number} ' for number in range(body['max_tokens'])]
        digest = xxhash.xxh64_hexdigest(''.join(texts).encode())
        if case == 'altered':
            texts[0] = 'other'
        if case == 'cut':
            texts.pop()
        events = [
            {'index': index, 'text': text} for index, text in enumerate(texts)
        ]
        for event in (*events, {'digest': digest}):
            self.write(f'data: {json.dumps(event)}\n\n')
        self.write('data: [DONE]\n\n')


class Instances(web.RequestHandler):
    def get(self) -> None:
        engine = {
            'instance_id': 'e',
            'kind': 'engine',
            'address': self.request.host,
            'failure_domain': 'jm-south-a',
        }
        self.write({'instances': [engine]})


class Report(web.RequestHandler):
    def get(self) -> None:
        figures = {'memory_mb': 9, 'used_mb': 9, 'slots': 1, 'queued': 0}
        held = [{'model': 'm', 'memory_mb': 9, 'ready': True}]
        self.write(
            {'server_id': 'e', 'boot_id': '1', 'fence': 0, 'running': 0}
            | figures
            | {'held': held},
        )


class Faults(web.RequestHandler):
    bodies: list[bytes] = []

    def post(self) -> None:
        self.bodies.append(self.request.body)
        self.write({})


def _settings(address: str) -> settings.Settings:
    host, port = address.split(':')
    return settings.Settings(
        instance_id=ids.InstanceId('i'),
        failure_domain=ids.FailureDomain('jm-south-a'),
        listen=listen_settings.ListenSettings(host=host, port=int(port)),
        platform=platform_settings.PlatformSettings(
            key_value=address,
            instance_list=address,
            weight_store=address,
        ),
        weight_store=weight_store_settings.WeightStoreSettings(
            loads_per_s=1,
            concurrent_loads=1,
            adapters_in_transit=1,
        ),
    )


async def _replay(recorded: trace.Trace) -> replay.ReplayReport:
    application = web.Application(
        [
            ('/v1/addresses', Addresses),
            ('/v1/completions', Completions),
            ('/v1/instances', Instances),
            ('/v1/report', Report),
            ('/control/faults', Faults),
        ],
    )
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, HOST)
    server.add_sockets(sockets)
    address = f'{HOST}:{sockets[0].getsockname()[1]}'
    replayer = replay.Replay(recorded, _settings(address), speed=100)
    try:
        return await replayer.run()
    finally:
        server.stop()


@pytest.mark.parametrize(
    ('case', 'outcome', 'as_stated', 'refusals'),
    [
        ('', 'answered', True, {}),
        ('altered', 'told', False, {}),
        ('cut', 'settled', False, {}),
        ('did_not_run', 'settled', True, {'not_in_time': 1}),
        ('did_not_run', 'answered', False, {'not_in_time': 1}),
        ('may_have_run', 'settled', False, {'not_in_time': 1}),
        ('may_have_run', 'told', True, {'not_in_time': 1}),
    ],
)
def test_report_of_outcome(
    case: str,
    outcome: str,
    as_stated: bool,
    refusals: dict[str, int],
) -> None:
    arrival = trace_event.Arrival(
        at=0.5,
        profile=HEADER.profiles[0].name,
        model=HEADER.models[0].name,
        prompt=3,
        answer=4,
        prefix=case,
        outcome=trace_event.ExpectedOutcome(outcome),
    )
    recorded = trace.Trace(
        header=msgspec.structs.replace(HEADER, stated_attainment=0),
        arrivals=(arrival,),
    )
    report = asyncio.run(_replay(recorded))
    assert report.passed is as_stated
    assert len(report.shown) == (not as_stated)
    assert report.figures.refusals_by_code == refusals
    assert report.figures.attainment == (not case)


@pytest.mark.parametrize(
    ('subject', 'passed'),
    [('jm-south-a', True), ('key_value', True), ('jm-south-z', False)],
)
def test_events_are_posted(subject: str, passed: bool) -> None:
    Faults.bodies.clear()
    event = trace_event.Event(
        at=0,
        event=trace_event.EventKind.fault,
        subject=subject,
        body={'down': True},
    )
    recorded = trace.Trace(header=HEADER, arrivals=(), events=(event,))
    report = asyncio.run(_replay(recorded))
    assert report.passed is passed
    assert (Faults.bodies == [b'{"down":true}']) is passed


def test_starved_model_is_reported() -> None:
    score = policy_score.Score()
    score.record_wait(ids.ModelName('a'), policy_score.STARVATION_WAIT_S + 1)
    score.record_wait(ids.ModelName('b'), policy_score.STARVATION_WAIT_S)
    assert score.summary().starved == ('a',)
