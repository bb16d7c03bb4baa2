"""Which model each replica prefers when several models share the same replicas.

An engine that decodes two models in one batch runs two forward passes per step,
so each stream takes almost twice as long.  Every daemon therefore prefers the
same replicas for a model, without any message: replicas in order of identifier
are dealt out to the models in order of name.  The preference is soft: a replica
whose own model is idle takes others.

>>> homes = HomeModels()
>>> homes.assign(["e0", "e1", "e2"], ["grades", "notes"])
>>> [homes.is_home(name, "grades") for name in ("e0", "e1", "e2")]
[True, False, True]
"""

from __future__ import annotations

from collections.abc import Sequence


class HomeModels:
    """Preferred model per replica; a replica without one is at home for all."""

    def __init__(self) -> None:
        self._homes: dict[str, str] = {}

    def assign(self, replica_ids: Sequence[str], models: Sequence[str]) -> None:
        """Deal the replicas out to the models that share them."""
        ordered = sorted(set(models))
        for index, replica_id in enumerate(sorted(replica_ids)):
            if len(ordered) > 1:
                self._homes[replica_id] = ordered[index % len(ordered)]
            else:
                self._homes.pop(replica_id, None)

    def is_home(self, replica_id: str, model: str) -> bool:
        """Whether a model is preferred on a replica."""
        return self._homes.get(replica_id, model) == model
