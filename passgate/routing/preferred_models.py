"""Preferred model of each replica when several models share the same replicas.

An engine that decodes two models in one batch runs two forward passes per step, which
almost doubles the time per token.  Each daemon therefore assigns models to its replicas
round robin, in order of replica identifier and model name, so that daemons with the same
replicas agree without communication.  A preference does not exclude other models; see
:mod:`passgate.routing.replica_chooser`.

>>> preferred_models = PreferredModels()
>>> preferred_models.assign(["e0", "e1", "e2"], ["grades", "notes"])
>>> [preferred_models.is_preferred(name, "grades") for name in ("e0", "e1", "e2")]
[True, False, True]
"""

from __future__ import annotations

from collections.abc import Sequence


class PreferredModels:
    """Preferred model per replica; a replica without an assignment prefers every model."""

    def __init__(self) -> None:
        self._model_by_replica: dict[str, str] = {}

    def assign(self, replica_ids: Sequence[str], models: Sequence[str]) -> None:
        """Assign the replicas round robin to the models; a single model clears their assignments."""
        ordered_models = sorted(set(models))
        for index, replica_id in enumerate(sorted(replica_ids)):
            if len(ordered_models) > 1:
                self._model_by_replica[replica_id] = ordered_models[index % len(ordered_models)]
            else:
                self._model_by_replica.pop(replica_id, None)

    def is_preferred(self, replica_id: str, model: str) -> bool:
        """Whether a replica prefers a model."""
        return self._model_by_replica.get(replica_id, model) == model
