"""Test the lookup of routes."""

import pytest
import routing_parts

from oatcrank.routing import route_table

ROUTES = (
    routing_parts.a_route(name='words', prefix='/words/'),
    routing_parts.a_route(name='deeper', prefix='/words/deep/'),
    routing_parts.a_route(name='other', host='other.example', prefix='/'),
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('words.example', '/words/x', 'words'),
        ('words.example', '/words/', 'words'),
        ('WORDS.example', '/words/deep/x', 'deeper'),
        ('words.example', '/words/deeper/x', 'words'),
        ('words.example', '/words', None),
        ('words.example', '/elsewhere/', None),
        ('other.example', '/anything/at/all', 'other'),
        ('nobody.example', '/words/x', None),
        ('words.example', '', None),
    ],
)
def test_find(host, path, expected):
    routes = route_table.RouteTable()
    routes.replace(routing_parts.configuration(*ROUTES))
    found = routes.find(host, path)
    assert getattr(found, 'name', None) == expected


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [([1, 2], 2), ([2, 1], 2), ([5, 5], 5), ([3, 9, 4], 9)],
)
def test_an_older_version_is_not_applied(versions, in_force):
    routes = route_table.RouteTable()
    for version in versions:
        routes.replace(routing_parts.configuration(version=version))
    assert routes.configuration.version == in_force
