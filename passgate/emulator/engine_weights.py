"""Weights that an emulated engine holds: active, staged, and being fetched.

>>> weights = EngineWeights({"m": 1})
>>> weights.stage("m", 2, "store", "o1")
TransferWanted(model='m', version=2, source='store')
>>> weights.transferred("m", 2)
['o1']
>>> weights.activate("m", 2)
>>> weights.loaded()
{'m': '2'}
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from passgate.emulator.engine_events import TransferWanted


class _Fetch(msgspec.Struct):
    version: int
    order_ids: list[str]


class EngineWeights:
    """Per model: the active version or None, one staged version, one fetch."""

    def __init__(self, boot_versions: Mapping[str, int]) -> None:
        self._boot_versions = dict(boot_versions)
        self.active: dict[str, int | None] = dict(boot_versions)
        self.staged: dict[str, int] = {}
        self._fetches: dict[str, _Fetch] = {}

    def knows(self, model: str) -> bool:
        """Return whether this engine serves the model."""
        return model in self.active

    def loaded(self) -> dict[str, str]:
        """Return the active versions as decimal text, without models that have none."""
        return {model: str(version) for model, version in self.active.items() if version is not None}

    def holds(self, model: str, version: int) -> bool:
        """Return whether the version is complete in memory."""
        return version in (self.active.get(model), self.staged.get(model))

    def stage(self, model: str, version: int, source: str, order_id: str) -> TransferWanted | None:
        """Begin or join a fetch; None when no new transfer is needed.

        The caller checks :meth:`holds` and :meth:`abandoned_by` first.
        """
        fetch = self._fetches.get(model)
        if fetch is not None and fetch.version == version:
            fetch.order_ids.append(order_id)
            return None
        self._fetches[model] = _Fetch(version=version, order_ids=[order_id])
        return TransferWanted(model, version, source)

    def abandoned_by(self, model: str, version: int) -> list[str]:
        """Return the orders of a present fetch that staging ``version`` would replace."""
        fetch = self._fetches.get(model)
        if fetch is None or fetch.version == version:
            return []
        return fetch.order_ids

    def transferred(self, model: str, version: int) -> list[str]:
        """Note that the weights arrived; return the orders that this finishes."""
        order_ids = self.end_fetch(model, version)
        if order_ids:
            self.staged[model] = version
        return order_ids

    def end_fetch(self, model: str, version: int) -> list[str]:
        """Forget a fetch; return its orders, none when it was replaced before."""
        fetch = self._fetches.get(model)
        if fetch is None or fetch.version != version:
            return []
        del self._fetches[model]
        return fetch.order_ids

    def activate(self, model: str, version: int) -> None:
        """Use a version that was staged when its activation began."""
        self.active[model] = version
        if self.staged.get(model) == version:
            del self.staged[model]

    def lose(self, model: str) -> None:
        """The model is left without usable weights; the staged copy stays."""
        self.active[model] = None

    def restart(self) -> None:
        """Return to the boot versions."""
        self.active = dict(self._boot_versions)
        self.staged.clear()
        self._fetches.clear()
