"""Index the requirements of the profiles in force by model."""

from collections.abc import Iterable, Mapping

from oatcrank import ids
from oatcrank.configuration import profile

MS_PER_S = 1000
WEIGHT_BY_PRIORITY = {
    profile.Priority.high: 4.0,
    profile.Priority.normal: 1.0,
    profile.Priority.low: 0.25,
}
DEFAULT_FIRST_TOKEN_S = 1.0


class ProfileIndex:
    """Index the profiles by model; rebuilt when a change is applied."""

    def __init__(self) -> None:
        """Start without profiles."""
        self._first_token_s_by_model: dict[ids.ModelName, float] = {}
        self._weight_by_model: dict[ids.ModelName, float] = {}
        self._adapters_by_model: dict[ids.ModelName, set[ids.AdapterName]] = {}

    def rebuild(self, profiles: Iterable[profile.Profile]) -> None:
        """Rebuild the index from the profiles in force."""
        first_token_s_by_model: dict[ids.ModelName, float] = {}
        weight_by_model: dict[ids.ModelName, float] = {}
        adapters_by_model: dict[ids.ModelName, set[ids.AdapterName]] = {}
        for active in profiles:
            priority_weight = WEIGHT_BY_PRIORITY[active.priority]
            target_s = active.targets.first_token_ms / MS_PER_S
            for model in active.models:
                first_token_s_by_model[model] = min(
                    first_token_s_by_model.get(model, target_s),
                    target_s,
                )
                weight_by_model[model] = max(
                    weight_by_model.get(model, 0),
                    priority_weight,
                )
                adapters_by_model.setdefault(model, set()).update(
                    active.adapters,
                )
        self._first_token_s_by_model = first_token_s_by_model
        self._weight_by_model = weight_by_model
        self._adapters_by_model = adapters_by_model

    @property
    def weight_by_model(self) -> Mapping[ids.ModelName, float]:
        """Return the weight of each model that a profile covers."""
        return self._weight_by_model

    def first_token_s(self, model: ids.ModelName) -> float:
        """Return the strictest target for a model's first token."""
        return self._first_token_s_by_model.get(model, DEFAULT_FIRST_TOKEN_S)

    def weight(self, model: ids.ModelName) -> float:
        """Return the weight of a model's highest priority."""
        return self._weight_by_model.get(model, 1)

    def adapters_of(
        self,
        model: ids.ModelName,
    ) -> tuple[ids.AdapterName, ...]:
        """Return the adapters named by profiles that cover a model."""
        return tuple(sorted(self._adapters_by_model.get(model, ())))
