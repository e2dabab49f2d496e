"""Empty the servers that earn less than an accelerator's price."""

import collections

from oatcrank import _prices, _room, _spare, _swap, ids

PAYBACK_S = 30.0
MARGIN = 1.2
PAUSE_S = 2.0
LONGEST_CLOSING_S = 20.0
MOST_SHARE = 0.75
IMPOSSIBLE = float('inf')


class Consolidation:
    """Empty one server at a time, over as many rounds as it takes."""

    def __init__(self) -> None:
        """Start with no server being emptied."""
        self.closing: ids.ServerId | None = None
        self._since_s = -PAUSE_S

    def stop(self, now: float) -> None:
        """Give up emptying, for a while."""
        self.closing = None
        self._since_s = now

    def choose(
        self,
        room: _room.Room,
        prices: _prices.Prices,
        spare: _spare.Spare,
        swap: _swap.Swap,
    ) -> None:
        """Begin with the server that costs least to empty, if it pays."""
        now = room.seen.now_s
        if self.closing or now < self._since_s + PAUSE_S:
            return
        if not _enough_slots(room, prices):
            return
        losses = [
            (_loss(view.server, room, spare, swap), view.server)
            for view in room.seen.servers
            if room.is_used(view.server) and not view.loading
        ]
        if not losses:
            return
        loss, server = min(losses)
        if loss * MARGIN < prices.accelerator:
            self.closing = server
            self._since_s = now

    def go_on(self, room: _room.Room, spare: _spare.Spare) -> None:
        """Move or unload what the chosen server holds."""
        server = self.closing
        if server is None:
            return
        view = room.server_by_id.get(server)
        late = room.seen.now_s > self._since_s + LONGEST_CLOSING_S
        if view is None or late or not room.is_used(server):
            self.stop(room.seen.now_s)
            return
        for model in view.loaded:
            _vacate(server, model, room, spare)


def _enough_slots(room: _room.Room, prices: _prices.Prices) -> bool:
    need = sum(prices.need(model) for model in room.homes_by_model)
    slots = [
        view.slots for view in room.seen.servers if room.is_used(view.server)
    ]
    if not slots:
        return False
    return need <= MOST_SHARE * (sum(slots) - max(slots))


def _loss(
    server: ids.ServerId,
    room: _room.Room,
    spare: _spare.Spare,
    swap: _swap.Swap,
) -> float:
    loss: float = 0
    taken: collections.Counter[ids.ServerId] = collections.Counter()
    spare.closed.add(server)
    for model in room.server_by_id[server].loaded:
        lost = swap.loss(server, model)
        moved = swap.move_price(server, model) / PAYBACK_S
        target = None
        if moved < lost:
            target = spare.find(model, taken)
        if target is not None:
            taken[target] += room.model_by_name[model].memory_mb
            loss += moved
        elif room.can_unload(server, model):
            loss += lost
        else:
            loss = IMPOSSIBLE
            break
    spare.closed.discard(server)
    return loss


def _vacate(
    server: ids.ServerId,
    model: ids.ModelName,
    room: _room.Room,
    spare: _spare.Spare,
) -> None:
    others = set(room.homes_by_model[model]) - {server}
    if any(model in room.server_by_id[other].loaded for other in others):
        if room.can_unload(server, model):
            room.unload(server, model)
        else:
            room.drain(server, model)
        return
    if others:
        return
    target = spare.find(model)
    if target is not None:
        spare.load(target, model)
    elif room.can_unload(server, model):
        room.unload(server, model)
