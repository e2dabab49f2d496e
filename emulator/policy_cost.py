"""Measure what a placement round costs: `python -m emulator.policy_cost`."""

import random
import sys
import time

import msgspec

from oatcrank import ids
from oatcrank.placing import expected_gain_placement, placement
from oatcrank.settings import policy_settings

MODELS = (10, 100, 1000)
SERVERS = (10, 100, 300)
ROUNDS = 40
ROUND_S = 0.25
MEMORY_MB = 68_000
SIZES_MB = (22_000, 27_000, 33_000, 36_000, 41_000)
SLOTS = 8
LOAD_SLOTS = 7
LOAD_S = 4.7
FIRST_TOKEN_S = 1.5
SERVICE_S = 2.0
BUSY_SHARE = 0.3
MOST_ARRIVALS = 3
MS_PER_S = 1000


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a round costs at one size, in milliseconds."""

    models: int
    servers: int
    median_ms: float
    longest_ms: float


class _Bed:
    """Keep a fleet whose demand changes from round to round."""

    def __init__(self, models: int, servers: int) -> None:
        self._dice = random.Random(f'{models} {servers}')
        self._size_by_model = {
            ids.ModelName(f'm{number}'): SIZES_MB[number % len(SIZES_MB)]
            for number in range(models)
        }
        self._held_by_server: dict[ids.ServerId, list[ids.ModelName]] = {
            ids.ServerId(f's{number}'): [] for number in range(servers)
        }
        for model in self._size_by_model:
            server = self._dice.choice(list(self._held_by_server))
            if self._free_mb(server) >= self._size_by_model[model]:
                self._held_by_server[server].append(model)

    def observe(self, number: int) -> placement.Observation:
        """Draw a round's demand."""
        return placement.Observation(
            now_s=number * ROUND_S,
            since_s=(number - 1) * ROUND_S,
            load_slots=LOAD_SLOTS,
            load_s=LOAD_S,
            servers=tuple(map(self._server, self._held_by_server)),
            models=tuple(map(self._model, self._size_by_model)),
        )

    def apply(self, moves: tuple[placement.Move, ...]) -> None:
        """Carry out moves at once; a drain has no effect here."""
        for move in moves:
            held = self._held_by_server[move.server]
            if move.kind is placement.MoveKind.load:
                held.append(move.model)
            elif move.kind is placement.MoveKind.unload:
                held.remove(move.model)

    def _free_mb(self, server: ids.ServerId) -> int:
        held = self._held_by_server[server]
        return MEMORY_MB - sum(self._size_by_model[model] for model in held)

    def _server(self, server: ids.ServerId) -> placement.ServerView:
        held = tuple(self._held_by_server[server])
        return placement.ServerView(
            server=server,
            failure_domain=ids.FailureDomain('a'),
            memory_mb=MEMORY_MB,
            free_mb=self._free_mb(server),
            slots=SLOTS,
            loaded=held,
            busy=tuple(
                model for model in held if self._dice.random() < BUSY_SHARE
            ),
        )

    def _model(self, model: ids.ModelName) -> placement.ModelView:
        active = self._dice.random() < BUSY_SHARE
        arrivals = self._dice.randrange(MOST_ARRIVALS) if active else 0
        return placement.ModelView(
            model=model,
            memory_mb=self._size_by_model[model],
            arrivals=arrivals,
            waiting=arrivals,
            running=arrivals,
            service_s=SERVICE_S,
            first_token_s=FIRST_TOKEN_S,
        )


def measure(models: int, servers: int) -> Cost:
    """Time rounds over one size of fleet."""
    bed = _Bed(models, servers)
    chooser = expected_gain_placement.ExpectedGainPlacement(
        policy_settings.PolicySettings(),
    )
    took_ms = []
    for number in range(1, ROUNDS + 1):
        seen = bed.observe(number)
        start_s = time.perf_counter()
        moves = chooser.decide(seen)
        took_ms.append((time.perf_counter() - start_s) * MS_PER_S)
        bed.apply(moves)
    took_ms.sort()
    return Cost(
        models=models,
        servers=servers,
        median_ms=took_ms[ROUNDS // 2],
        longest_ms=took_ms[-1],
    )


def main() -> None:
    """Print a table of all sizes."""
    sys.stdout.write('models  servers  median ms  longest ms\n')
    for models in MODELS:
        for servers in SERVERS:
            cost = measure(models, servers)
            sys.stdout.write(
                f'{models:6}  {servers:7}  {cost.median_ms:9.2f}'
                f'  {cost.longest_ms:10.2f}\n',
            )


if __name__ == '__main__':
    main()
