"""Measure placement round durations: `python -m emulator.policy_cost`."""

import random
import sys
import time

import msgspec

from oatcrank import ids
from oatcrank.placing import expected_gain_placement, placement
from oatcrank.settings import policy_settings

MODEL_COUNTS = (10, 100, 1000)
SERVER_COUNTS = (10, 100, 300)
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
ARRIVALS_LIMIT = 3
MS_PER_S = 1000


class RoundCost(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of a placement round for one fleet size."""

    models: int
    servers: int
    median_ms: float
    longest_ms: float


class _SyntheticFleet:
    """Synthetic fleet whose demand changes from round to round."""

    def __init__(self, models: int, servers: int) -> None:
        self._rng = random.Random(f'{models} {servers}')
        self._size_by_model = {
            ids.ModelName(f'm{number}'): SIZES_MB[number % len(SIZES_MB)]
            for number in range(models)
        }
        self._models_by_server: dict[ids.ServerId, list[ids.ModelName]] = {
            ids.ServerId(f's{number}'): [] for number in range(servers)
        }
        for model in self._size_by_model:
            server = self._rng.choice(list(self._models_by_server))
            if self._free_mb(server) >= self._size_by_model[model]:
                self._models_by_server[server].append(model)

    def observe(self, number: int) -> placement.Observation:
        """Return an observation with random demand for a round."""
        return placement.Observation(
            now_s=number * ROUND_S,
            since_s=(number - 1) * ROUND_S,
            load_slots=LOAD_SLOTS,
            load_s=LOAD_S,
            servers=tuple(map(self._server, self._models_by_server)),
            models=tuple(map(self._model, self._size_by_model)),
        )

    def apply(self, moves: tuple[placement.Move, ...]) -> None:
        """Apply moves at once; drains have no effect."""
        for move in moves:
            loaded = self._models_by_server[move.server]
            if move.kind is placement.MoveKind.load:
                loaded.append(move.model)
            elif move.kind is placement.MoveKind.unload:
                loaded.remove(move.model)

    def _free_mb(self, server: ids.ServerId) -> int:
        loaded = self._models_by_server[server]
        return MEMORY_MB - sum(self._size_by_model[model] for model in loaded)

    def _server(self, server: ids.ServerId) -> placement.ServerView:
        loaded = tuple(self._models_by_server[server])
        return placement.ServerView(
            server=server,
            failure_domain=ids.FailureDomain('a'),
            memory_mb=MEMORY_MB,
            free_mb=self._free_mb(server),
            slots=SLOTS,
            loaded=loaded,
            busy=tuple(
                model for model in loaded if self._rng.random() < BUSY_SHARE
            ),
        )

    def _model(self, model: ids.ModelName) -> placement.ModelView:
        active = self._rng.random() < BUSY_SHARE
        arrivals = self._rng.randrange(ARRIVALS_LIMIT) if active else 0
        return placement.ModelView(
            model=model,
            memory_mb=self._size_by_model[model],
            arrivals=arrivals,
            waiting=arrivals,
            running=arrivals,
            service_s=SERVICE_S,
            first_token_s=FIRST_TOKEN_S,
        )


def measure(models: int, servers: int) -> RoundCost:
    """Measure rounds for one fleet size."""
    fleet = _SyntheticFleet(models, servers)
    policy = expected_gain_placement.ExpectedGainPlacement(
        policy_settings.PolicySettings(),
    )
    durations_ms = []
    for number in range(1, ROUNDS + 1):
        observation = fleet.observe(number)
        start_s = time.perf_counter()
        moves = policy.decide(observation)
        durations_ms.append((time.perf_counter() - start_s) * MS_PER_S)
        fleet.apply(moves)
    durations_ms.sort()
    return RoundCost(
        models=models,
        servers=servers,
        median_ms=durations_ms[ROUNDS // 2],
        longest_ms=durations_ms[-1],
    )


def main() -> None:
    """Print a table of all fleet sizes."""
    sys.stdout.write('models  servers  median ms  longest ms\n')
    for models in MODEL_COUNTS:
        for servers in SERVER_COUNTS:
            cost = measure(models, servers)
            sys.stdout.write(
                f'{models:6}  {servers:7}  {cost.median_ms:9.2f}'
                f'  {cost.longest_ms:10.2f}\n',
            )


if __name__ == '__main__':
    main()
