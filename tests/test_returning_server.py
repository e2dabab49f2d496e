"""Test that a server which returns from a pause is not kept from its load.

Load pattern: a server asks for a short pause, and answers to the requests that
it takes afterwards begin late.
"""

import routing_parts

from oatcrank.routing import server_pause

PAUSE_S = 0.2
LONG_S = 5.0
STEPS = 5
STEP_S = 0.6


def test_requests_with_slow_answers_keep_a_server_at_one_place():
    pause = server_pause.ServerPause()
    pause.extend(PAUSE_S, 0)
    sent = 0
    sent_by_step = []
    for step in range(STEPS):
        now_s = PAUSE_S + step * STEP_S
        while pause.has_place(now_s):
            pause.begin_send(sent, now_s)
            sent += 1
        sent_by_step.append(sent)
    assert sent_by_step == [1, 3, 7, 15, 31]


def test_a_pause_is_lost_once_many_processes_were_registered(monkeypatch):
    monkeypatch.setattr(server_pause, 'MAX_PAUSES', 4)
    first = routing_parts.registration(0)
    servers = routing_parts.table(first)
    for number in range(1, 8):
        servers.put(routing_parts.registration(number))
    servers.pause(first, server_pause.RequestedPause(LONG_S))
    registered = servers.by_id[first.server_id]
    assert not registered.has_place(servers.created_s)
