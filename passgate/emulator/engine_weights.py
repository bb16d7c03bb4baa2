"""Weight versions of an emulated engine: active, staged and being fetched.

>>> weights = EngineWeights({"m": 1})
>>> weights.stage("m", 2, "store", "o1")
TransferRequested(model='m', version=2, source='store')
>>> weights.complete_fetch("m", 2)
['o1']
>>> weights.activate("m", 2)
>>> weights.loaded()
{'m': '2'}
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from passgate.emulator.engine_events import TransferRequested


class _Fetch(msgspec.Struct):
    version: int
    order_ids: list[str]


class EngineWeights:
    """Per model, the active version, at most one staged version and at most one fetch."""

    def __init__(self, boot_versions: Mapping[str, int]) -> None:
        self._boot_versions = dict(boot_versions)
        self.active: dict[str, int | None] = dict(boot_versions)
        """Active version by model; None if the model has no usable weights."""
        self.staged: dict[str, int] = {}
        self._fetch_by_model: dict[str, _Fetch] = {}

    def serves(self, model: str) -> bool:
        """Return whether this engine serves the model."""
        return model in self.active

    def loaded(self) -> dict[str, str]:
        """Return the active versions by model as decimal text, without models that have none."""
        return {model: str(version) for model, version in self.active.items() if version is not None}

    def holds(self, model: str, version: int) -> bool:
        """Return whether the version is active or staged."""
        return version in (self.active.get(model), self.staged.get(model))

    def stage(self, model: str, version: int, source: str, order_id: str) -> TransferRequested | None:
        """Start a fetch and return its transfer; None if the version is being fetched already.

        A fetch of another version is replaced.  The caller first checks that the engine does not hold the
        version, and fails the orders of :meth:`orders_superseded_by`.
        """
        fetch = self._fetch_by_model.get(model)
        if fetch is not None and fetch.version == version:
            fetch.order_ids.append(order_id)
            return None
        self._fetch_by_model[model] = _Fetch(version=version, order_ids=[order_id])
        return TransferRequested(model, version, source)

    def orders_superseded_by(self, model: str, version: int) -> list[str]:
        """Return the order identifiers of the fetch that staging ``version`` would replace."""
        fetch = self._fetch_by_model.get(model)
        if fetch is None or fetch.version == version:
            return []
        return fetch.order_ids

    def complete_fetch(self, model: str, version: int) -> list[str]:
        """Stage the fetched weights and return the identifiers of the orders that are now done.

        Returns an empty list and stages nothing if the fetch was replaced.
        """
        order_ids = self.remove_fetch(model, version)
        if order_ids:
            self.staged[model] = version
        return order_ids

    def remove_fetch(self, model: str, version: int) -> list[str]:
        """Remove a fetch and return the identifiers of its orders, none if it was replaced."""
        fetch = self._fetch_by_model.get(model)
        if fetch is None or fetch.version != version:
            return []
        del self._fetch_by_model[model]
        return fetch.order_ids

    def activate(self, model: str, version: int) -> None:
        """Make a version active that was staged when its activation began."""
        self.active[model] = version
        if self.staged.get(model) == version:
            del self.staged[model]

    def mark_unusable(self, model: str) -> None:
        """Leave the model without an active version; its staged version stays."""
        self.active[model] = None

    def reset(self) -> None:
        """Return to the boot versions, without staged versions and fetches."""
        self.active = dict(self._boot_versions)
        self.staged.clear()
        self._fetch_by_model.clear()
