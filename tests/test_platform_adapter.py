"""Test the settings, messages and wire protocol of the platform."""

import argparse
import json

import pytest
import routing_parts

from oatcrank import errors
from oatcrank.cluster import codec as cluster_codec
from oatcrank.cluster import store
from oatcrank.commands import command
from oatcrank.forwarding import wire_protocol
from oatcrank.platform import (
    codec,
    platform_command,
    platform_protocol,
    settings,
)
from oatcrank.routing import route, server_registration
from oatcrank.transport import message

SETTINGS = """
node_name = "edge-north-1"
role = "entry"
ip = "10.1.0.38"
zone = "north"
region = "here"
bootstrap = true
internal_ports = [7380, 7395]
[zones]
north = "here"
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
directory = "10.1.0.38:8143"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
lease_ttl_ms = 3000
ceiling_window_s = 4
ceiling_overage = 1.2
ttl_max_s = 5
[platform]
address = "10.200.1.7:8142"
"""


def test_settings(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    read = settings.read(str(path))
    own = read.member(7)
    assert (own.instance_id, own.caller_address) == (
        'edge-north-1',
        '10.1.0.38:8149',
    )
    assert own.failure_domain == 'north'
    bounds = read.shared_bounds()
    assert bounds.order_lease_duration_s == 3.0
    assert bounds.load_ceiling.window_s == 4
    assert bounds.load_ceiling.overage == 1.2


@pytest.mark.parametrize(
    ('line', 'changed', 'named'),
    [
        ('zone = "north"', '', 'zone'),
        ('zone = "north"', 'zone = 7', 'zone'),
        ('grace_s = 8', 'grace_s = "8"', 'grace_s'),
        ('[platform]', '[elsewhere]', 'platform'),
        ('zone = "north"', 'zone = ', ''),
    ],
)
def test_invalid_settings_are_named(tmp_path, line, changed, named):
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.replace(line, changed, 1))
    with pytest.raises(errors.SettingsError, match=named):
        settings.read(str(path))


@pytest.mark.parametrize(
    ('arguments', 'expected'),
    [
        ([], command.ExitStatus.success),
        (['--read-tokens-per-s', '90000'], command.ExitStatus.success),
        (['--read-tokens-per-s', '0'], command.ExitStatus.usage),
    ],
)
def test_the_command_line_is_checked(tmp_path, arguments, expected):
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    platform = platform_command.PlatformCommand()
    parser = argparse.ArgumentParser()
    platform.add_arguments(parser)
    options = parser.parse_args(
        ['--settings', str(path), '--check', *arguments],
    )
    assert platform.run(options) is expected


def test_a_missing_settings_file_is_an_error(tmp_path):
    with pytest.raises(errors.SettingsError):
        settings.read(str(tmp_path / 'nothing.toml'))


def raw(**headers):
    given = {name.replace('_', '-'): text for name, text in headers.items()}
    named = {'host': 'words.example', 'x-request-id': '9c41', **given}
    return message.Request(
        method=b'POST',
        target=b'/words/x?y=1',
        headers=[(key.encode(), text.encode()) for key, text in named.items()],
        body=b'hello',
        began_s=5.0,
        peer='10.9.9.9',
        keep_alive=True,
    )


def test_a_callers_request():
    decoded = platform_protocol.PlatformProtocol().decode_request(
        raw(
            x_model='words-large/a3',
            x_prompt_prefix='5c1e:800,91bd:410,e440:250',
            x_deadline_ms='12000',
            last_event_id='12',
            resumes='5d20',
        ),
    )
    assert (decoded.model, decoded.adapter) == ('words-large', 'a3')
    assert decoded.prefix == '5c1e:800,91bd:410'
    assert decoded.shared_parts == ('5c1e', '91bd')
    assert decoded.timeout_s == 12.0
    assert decoded.last_event_id == 12
    assert decoded.resumed_id == '5d20'
    assert decoded.path == '/words/x'


@pytest.mark.parametrize(
    ('headers', 'field', 'expected'),
    [
        ({}, 'timeout_s', None),
        ({'x-deadline-ms': 'soon'}, 'timeout_s', None),
        ({'x-deadline-ms': '-5'}, 'timeout_s', None),
        ({'last-event-id': 'x'}, 'last_event_id', None),
        ({'x-model': 'words-large'}, 'adapter', None),
        ({'x-prompt-prefix': '5c1e:800'}, 'shared_parts', ()),
        (
            {'x-prompt-prefix': '5C1E:8, 91:4,e:2'},
            'shared_parts',
            ('5c1e', '91'),
        ),
        ({'x-prompt-prefix': ':8,x:4,,e:2'}, 'shared_parts', ()),
        ({'host': 'words.example:8080'}, 'host', 'words.example'),
    ],
)
def test_missing_and_malformed_headers(headers, field, expected):
    decoded = platform_protocol.PlatformProtocol().decode_request(
        raw(**headers)
    )
    assert getattr(decoded, field) == expected


@pytest.mark.parametrize('missing', ['host', 'x-request-id'])
def test_requests_that_cannot_be_forwarded(missing):
    request = raw()
    request.headers = [
        pair for pair in request.headers if pair[0].decode() != missing
    ]
    with pytest.raises(wire_protocol.MalformedRequest):
        platform_protocol.PlatformProtocol().decode_request(request)


@pytest.mark.parametrize(
    ('left_s', 'expected'),
    [(1.5, b'X-Deadline-Ms: 1500'), (0.0001, b'X-Deadline-Ms: 1')],
)
def test_the_deadline_header_has_the_time_left(left_s, expected):
    protocol = platform_protocol.PlatformProtocol()
    sent = protocol.encode_request(
        protocol.decode_request(raw(x_deadline_ms='9000')),
        wire_protocol.SendParameters(
            registration=routing_parts.registration(0),
            left_s=left_s,
            priority=0,
            last_event_id=None,
        ),
    )
    assert expected in sent.split(b'\r\n')
    assert sent.count(b'Deadline') == 1
    assert sent.startswith(b'POST /words/x?y=1 HTTP/1.1\r\n')


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({'X-Server-Load': '3,1,8'}, (3, 1)),
        ({'X-Server-Load': '3'}, None),
        ({'X-Server-Load': 'a,b,c'}, None),
        ({}, None),
    ],
)
def test_load_of_a_server(headers, expected):
    answer = platform_protocol.PlatformProtocol().decode_answer_head(
        answer_head(headers)
    )
    load = answer.load
    assert (load and (load.running, load.waiting)) == expected


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({'Keep-Alive': 'timeout=5'}, 5.0),
        ({'Keep-Alive': 'max=9, timeout=30'}, 30.0),
        ({'Keep-Alive': 'timeout=x'}, None),
        ({}, None),
    ],
)
def test_idle_time_of_a_server(headers, expected):
    assert (
        platform_protocol.PlatformProtocol()
        .decode_answer_head(answer_head(headers))
        .idle_timeout_s
        == expected
    )


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({'Server-Limit': '4.2'}, 4.2),
        ({'server-limit': ' 12 '}, 12.0),
        ({'Server-Limit': '0'}, 0.0),
        ({'Server-Limit': '-1'}, None),
        ({'Server-Limit': 'nan'}, None),
        ({'Server-Limit': 'inf'}, None),
        ({'Server-Limit': 'few'}, None),
        ({'Server-Limit': ''}, None),
        ({}, None),
    ],
)
def test_limit_of_a_server(headers, expected, messages):
    answer = platform_protocol.PlatformProtocol().decode_answer_head(
        answer_head(headers)
    )
    assert answer.limit_per_s == expected
    malformed = bool(headers) and expected is None
    events = [message['message_type'] for message in messages]
    assert events.count('server_limit_malformed') == int(malformed)


def answer_head(headers, status=200):
    return message.ResponseHead(
        status=status,
        reason=b'OK',
        headers=[
            (key.encode(), text.encode()) for key, text in headers.items()
        ],
        keep_alive=True,
        framing=message.Framing.length,
    )


ROUTE = {
    'name': 'r-1',
    'hostname': 'words.example',
    'prefix': '/words/',
    'kind': 'streaming',
    'timeout_ms': 15000,
    'target_latency_ms': 300,
    'priority': 1,
    'backend': 'wordbay',
    'max_attempts': 2,
    'sticky': True,
    'resumable': True,
    'gap_target_ms': 150,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'backends': [
        {
            'name': 'wordbay',
            'health_path': '/healthz',
            'max_conns': 370,
            'engine': {
                'slots': 64,
                'weights_mb': 200000.0,
                'max_adapters': 8,
                'loads_per_s': 1.4,
                'models': [
                    {
                        'name': 'm0',
                        'weights_mb': 65500.0,
                        'load_s': 5.2,
                        'adapters': 26,
                        'adapter_mb': 40.0,
                        'warm_s': 0.38,
                        'disk_s': 1.0,
                    },
                    {'name': 'm1', 'weights_mb': 10.0, 'load_s': 1},
                ],
            },
        },
        {'name': 'deskcore', 'max_conns': 110},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}
ENTRY = {
    'backend': 'wordbay',
    'address': '10.128.0.9:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'models': [{'name': 'm0', 'version': 1, 'adapters': ['a1']}],
    'seq': 4,
    'born': 1234,
    'at_hand': {'in_memory': ['m1'], 'on_disk': ['m0', 'm1']},
}


def item(key, content):
    written = (
        content if isinstance(content, bytes) else json.dumps(content).encode()
    )
    return store.Item(key=key, value=written, revision=5)


@pytest.mark.parametrize(
    ('version', 'expected'), [('v1.1', 'v1.1'), ('', ''), (None, '')]
)
def test_a_registration_has_the_software_version(version, expected):
    entry = {**ENTRY, 'version': version}
    if version is None:
        del entry['version']
    decoded = codec.PlatformCodec().decode(item('servers/i-1', entry))
    assert decoded.software_version == expected


def test_a_configuration():
    decoded = codec.PlatformCodec().decode(item('op/config', CONFIGURATION))
    (decoded_route,) = decoded.routes
    assert decoded.version == 7
    assert (
        decoded_route.repeatable,
        decoded_route.streaming,
        decoded_route.max_servers,
    ) == (True, True, 2)
    assert decoded_route.shares == (route.Share('wordbay', 1),)
    models = decoded.service_by_name['wordbay'].engine.model_by_name
    assert models['m0'].disk_load_s == 1.0
    assert models['m1'].memory_load_s == 1
    assert decoded.service_by_name['deskcore'].engine is None
    assert decoded.limits.header_timeout_s == 3.0


@pytest.mark.parametrize(
    ('changes', 'repeatable', 'streaming'),
    [
        ({'kind': 'idempotent'}, True, False),
        ({'kind': 'non_idempotent'}, False, False),
        ({'kind': 'streaming', 'resumable': True}, True, True),
        ({'kind': 'streaming', 'resumable': False}, False, True),
        # Requests of an unknown kind are not repeatable.
        ({'kind': 'something new'}, False, False),
    ],
)
def test_route_kinds(changes, repeatable, streaming):
    content = {**CONFIGURATION, 'routes': [{**ROUTE, **changes}]}
    (decoded_route,) = (
        codec.PlatformCodec().decode(item('op/config', content)).routes
    )
    assert (decoded_route.repeatable, decoded_route.streaming) == (
        repeatable,
        streaming,
    )


def test_a_split_route():
    split = [
        {'backend': 'wordbay', 'weight': 90},
        {'backend': 'deskcore', 'weight': 10},
    ]
    content = {**ROUTE, 'traffic_split': split}
    del content['backend']
    decoded = codec.PlatformCodec().decode(
        item('op/config', {**CONFIGURATION, 'routes': [content]}),
    )
    assert [share.weight for share in decoded.routes[0].shares] == [90, 10]


def test_a_registration():
    decoded = codec.PlatformCodec().decode(item('servers/i-7f', ENTRY))
    assert isinstance(decoded, server_registration.Registration)
    assert (decoded.server_id, decoded.started_ms) == ('i-7f', 1234)
    assert (decoded.host, decoded.port) == ('10.128.0.9', 8080)
    assert decoded.adapters_by_model == {'m0': ('a1',)}
    assert decoded.cached_in_memory == ('m1',)
    assert not decoded.leaving


@pytest.mark.parametrize(
    'content',
    [
        b'\xff\x00 no json',
        {},
        {**ENTRY, 'address': 'nowhere'},
        {**ENTRY, 'address': '10.0.0.1:port'},
        {**ENTRY, 'state': 'dreaming'},
        {**ENTRY, 'slots': 'many'},
        {**ENTRY, 'models': 7},
        {key: content for key, content in ENTRY.items() if key != 'backend'},
    ],
)
def test_a_malformed_registration_is_unusable(content):
    decoded = codec.PlatformCodec().decode(item('servers/i-7f', content))
    assert isinstance(decoded, cluster_codec.ServerRemoval)


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('op/config', b'{'),
        ('op/config', {'version': 'seven'}),
        ('something/else', b'x'),
    ],
)
def test_unknown_and_unreadable_items(key, content):
    assert codec.PlatformCodec().decode(item(key, content)) is None


def test_a_removed_registration():
    gone = store.Item(key='servers/i-7f', value=None, revision=6)
    assert isinstance(
        codec.PlatformCodec().decode(gone),
        cluster_codec.ServerRemoval,
    )


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, 2.0),
        ({'target_latency_ms': 4000}, 16.0),
        ({'gap_target_ms': 500}, 4.0),
        ({'kind': 'idempotent'}, None),
    ],
)
def test_patience_of_callers(changes, expected):
    content = {**CONFIGURATION, 'routes': [{**ROUTE, **changes}]}
    (decoded_route,) = (
        codec.PlatformCodec().decode(item('op/config', content)).routes
    )
    assert decoded_route.patience_s == expected


@pytest.mark.parametrize(
    ('headers', 'expected', 'malformed'),
    [
        ({'Server-Brittle': '4'}, 4.0, False),
        ({'server-brittle': ' 0.5 '}, 0.5, False),
        ({'Server-Brittle': '-1'}, None, True),
        ({'Server-Brittle': 'nan'}, None, True),
        ({'Server-Brittle': 'yes'}, None, True),
        ({}, None, False),
    ],
)
def test_a_server_says_that_it_is_brittle(
    headers, expected, malformed, messages
):
    answer = platform_protocol.PlatformProtocol().decode_answer_head(
        answer_head(headers)
    )
    assert answer.max_rejections_per_s == expected
    events = [message['message_type'] for message in messages]
    assert events.count('server_brittle_malformed') == int(malformed)
