"""Chooses where a replica fetches weights: from the weight store or from another engine.

Engines that hold a version serve it to others, so the copies form a distribution tree
and the store sends few.  The first copy comes from the store; each zone fetches a few
copies from other zones and all further ones from its own engines.

>>> table = SourceTable(DistributionSettings(store_streams=1, max_store_copies=1, fan_out=2))
>>> table.choose("10.0.0.1:80", "a"), table.start_fetch("store", "10.0.0.1:80", "a")
('store', None)
>>> table.choose("10.0.0.2:80", "a")
>>> table.end_fetch("store", "10.0.0.1:80", "a"); table.add_holder("10.0.0.1:80", "a")
>>> table.choose("10.0.0.2:80", "a"), table.choose("10.0.0.3:80", "b")
('10.0.0.1:80', '10.0.0.1:80')
"""

from __future__ import annotations

import msgspec

from passgate.rollout.seeds import SeedPlan
from passgate.rollout.types import STORE_SOURCE, DistributionSettings


class SourceTable:
    """Engines that hold one version of one model, and the running fetches of it."""

    def __init__(self, settings: DistributionSettings, seed: SeedPlan | None = None) -> None:
        self.store_copies = 0
        """Fetches from the store started so far, retries included."""
        self.seed = seed
        """Source of the zone's first copy; None when one manager orders all zones."""
        self._settings = settings
        self._cut_through_enabled = settings.cut_through
        self._partial_holders: set[str] = set()
        """Holders that are still fetching the version."""
        self._partial_failures = 0
        self._zone_by_holder: dict[str, str] = {}
        self._holder_count_by_zone: dict[str, int] = {}
        self._source_by_fetcher: dict[str, str] = {}
        """Address of each fetching engine and the source that it fetches from."""
        self._upload_count_by_source: dict[str, int] = {}
        self._free_holders_by_zone: dict[str, dict[str, None]] = {}
        self._running_store_fetches = 0
        self._cross_zone_fetches_by_zone: dict[str, int] = {}
        self._running_fetches_by_zone: dict[str, int] = {}

    def add_holder(self, address: str, zone: str) -> None:
        """Add an engine as a source; without effect when it is one."""
        if address not in self._zone_by_holder:
            self._zone_by_holder[address] = zone
            self._holder_count_by_zone[zone] = self._holder_count_by_zone.get(zone, 0) + 1
            self._update_free_holders(address)

    def add_complete_holder(self, address: str, zone: str) -> None:
        """Add an engine that holds the complete version, also one that was still fetching."""
        self._partial_holders.discard(address)
        self.add_holder(address, zone)

    def add_partial_holder(self, address: str, zone: str) -> bool:
        """Add an engine that is still fetching; False, and not added, when cut-through is off."""
        if not self._cut_through_enabled:
            return False
        self._partial_holders.add(address)
        self.add_holder(address, zone)
        return True

    def use_store_for_seed(self) -> None:
        """Make the store the source of the zone's first copy instead of another zone's seed."""
        if self.seed is not None:
            self.seed = msgspec.structs.replace(self.seed, source=STORE_SOURCE)

    def is_other_zone_seed(self, source: str) -> bool:
        """Return whether ``source`` is the other zone's seed that this zone fetches from."""
        return self.seed is not None and source == self.seed.source != STORE_SOURCE

    def is_partial(self, address: str) -> bool:
        """Return whether the source at ``address`` is still fetching the version."""
        return address in self._partial_holders

    def record_partial_failure(self) -> None:
        """Count a failed fetch from a still-fetching engine.

        After ``cut_through_refusals`` of them, removes all such sources and accepts no new ones.
        """
        self._partial_failures += 1
        if self._partial_failures >= self._settings.cut_through_refusals:
            self._cut_through_enabled = False
            for partial in list(self._partial_holders):
                self.remove_holder(partial)

    def remove_holder(self, address: str) -> None:
        """Remove an engine as a source; without effect when it is none.

        Its running uploads stay counted until :meth:`end_fetch`.
        """
        zone = self._zone_by_holder.pop(address, None)
        self._partial_holders.discard(address)
        if zone is not None:
            self._holder_count_by_zone[zone] -= 1
            self._free_holders_by_zone[zone].pop(address, None)

    def has_copy(self, zone: str) -> bool:
        """Return whether a zone has a source or a running fetch."""
        return bool(self._running_fetches_by_zone.get(zone)) or bool(self._holder_count_by_zone.get(zone))

    def start_fetch(self, source: str, address: str, zone: str) -> None:
        """Record that the engine at ``address`` in ``zone`` starts to fetch from ``source``."""
        self._source_by_fetcher[address] = source
        self._running_fetches_by_zone[zone] = self._running_fetches_by_zone.get(zone, 0) + 1
        if source == STORE_SOURCE:
            self._running_store_fetches += 1
            self.store_copies += 1
            return
        if self._zone_by_holder.get(source) != zone:
            self._cross_zone_fetches_by_zone[zone] = self._cross_zone_fetches_by_zone.get(zone, 0) + 1
        self._upload_count_by_source[source] = self._upload_count_by_source.get(source, 0) + 1
        self._update_free_holders(source)

    def end_fetch(self, source: str, address: str, zone: str) -> None:
        """Record that a started fetch has ended, whether or not it succeeded."""
        self._source_by_fetcher.pop(address, None)
        self._running_fetches_by_zone[zone] -= 1
        if source == STORE_SOURCE:
            self._running_store_fetches -= 1
            return
        self._upload_count_by_source[source] -= 1
        self._update_free_holders(source)

    def choose(self, address: str, zone: str, avoid_engines: bool = False) -> str | None:
        """Return a source with free capacity for the engine at ``address``, None when it must wait.

        With ``avoid_engines`` only the store is considered.
        """
        if avoid_engines:
            return STORE_SOURCE if self._store_has_capacity() else None
        own_zone_source = self._first_free_holder(address, zone)
        if own_zone_source is not None:
            return own_zone_source
        if self.is_other_zone_seed(self._seed_source()):
            return None if self.has_copy(zone) else self._seed_source()
        if self._store_has_capacity() and self.store_copies < self._settings.max_store_copies:
            return STORE_SOURCE
        if self._must_use_store():
            return STORE_SOURCE
        if (
            self.has_copy(zone)
            and self._cross_zone_fetches_by_zone.get(zone, 0) >= self._settings.max_crossings
        ):
            return None
        zones = sorted(self._free_holders_by_zone, key=lambda other: -len(self._free_holders_by_zone[other]))
        candidates = (self._first_free_holder(address, other) for other in zones)
        return next((source for source in candidates if source is not None), None)

    def _seed_source(self) -> str:
        return STORE_SOURCE if self.seed is None else self.seed.source

    def _first_free_holder(self, address: str, zone: str) -> str | None:
        free = self._free_holders_by_zone.get(zone, ())
        return next((source for source in free if not self._depends_on(source, address)), None)

    def _depends_on(self, source: str, address: str) -> bool:
        """Return whether ``source`` fetches, directly or indirectly, from ``address``.

        Two engines that fetch from each other would deadlock, each waiting for the other's data.
        """
        while source != address and source in self._source_by_fetcher:
            source = self._source_by_fetcher[source]
        return source == address

    def _store_has_capacity(self) -> bool:
        return self._running_store_fetches < self._settings.store_streams

    def _must_use_store(self) -> bool:
        """Return whether no engine holds or fetches the version and the store has capacity."""
        return (
            self._store_has_capacity()
            and not self._zone_by_holder
            and not any(self._running_fetches_by_zone.values())
        )

    def _reserved_uploads(self, address: str) -> int:
        """Return the number of uploads at ``address`` reserved for the next zone's seed."""
        reserves = self.seed is not None and self.seed.serves_next_zone and address == self.seed.address
        return int(reserves and self._settings.fan_out > 1)

    def _update_free_holders(self, address: str) -> None:
        zone = self._zone_by_holder.get(address)
        if zone is None:
            return
        free = self._free_holders_by_zone.setdefault(zone, {})
        if (
            self._upload_count_by_source.get(address, 0) + self._reserved_uploads(address)
            < self._settings.fan_out
        ):
            free.setdefault(address)
        else:
            free.pop(address, None)
