"""Describe how a worker crashes as it begins to answer a prompt."""

import msgspec


class WorkerCrash(msgspec.Struct, frozen=True):
    """Manner of a crash.

    whole_events: events that the worker sends before it crashes.
    resets: whether its connections are reset, or closed as after an answer.
    port_open_s: time for which its port still accepts connections.
    hands_port_over: the next process listens at the same address at once.
    """

    whole_events: int = 0
    resets: bool = True
    port_open_s: float = 0
    hands_port_over: bool = False
