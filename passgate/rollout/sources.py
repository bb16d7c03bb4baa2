"""Choice of where a replica fetches weights: the store or an engine that has them.

Engines that hold a version pass it on, so that the store sends few copies: the
copies form a distribution tree.  The first copy comes from the store; a zone takes
its first and few more copies from other zones and all later ones from its own.

>>> table = SourceTable(DistributionSettings(store_streams=1, max_store_copies=1, fan_out=2))
>>> table.choose("10.0.0.1:80", "a"), table.begin("store", "10.0.0.1:80", "a")
('store', None)
>>> table.choose("10.0.0.2:80", "a")
>>> table.end("store", "10.0.0.1:80", "a"); table.add_holder("10.0.0.1:80", "a")
>>> table.choose("10.0.0.2:80", "a"), table.choose("10.0.0.3:80", "b")
('10.0.0.1:80', '10.0.0.1:80')
"""

from __future__ import annotations

import msgspec

from passgate.rollout.seeds import SeedPlan
from passgate.rollout.types import STORE_SOURCE, DistributionSettings


class SourceTable:
    """Holders of one version of one model, with their uploads in progress."""

    def __init__(self, settings: DistributionSettings, seed: SeedPlan | None = None) -> None:
        self.store_copies = 0
        """Fetches from the store so far, retries included."""
        self.seed = seed
        """How the zone gets its first copy, when other zones have managers of their own."""
        self._settings = settings
        self._cut_through = settings.cut_through
        self._partial: set[str] = set()
        """Holders that still fetch."""
        self._partial_failures = 0
        self._zone_of: dict[str, str] = {}
        self._holders: dict[str, int] = {}
        self._parents: dict[str, str] = {}
        """Engines that fetch, with their sources."""
        self._uploads: dict[str, int] = {}
        self._free: dict[str, dict[str, None]] = {}
        self._store_uploads = 0
        self._crossings: dict[str, int] = {}
        self._fetching: dict[str, int] = {}

    def add_holder(self, address: str, zone: str) -> None:
        """Let an engine that holds the version serve as a source."""
        if address not in self._zone_of:
            self._zone_of[address] = zone
            self._holders[zone] = self._holders.get(zone, 0) + 1
            self._update(address)

    def complete_holder(self, address: str, zone: str) -> None:
        """Note that an engine now holds the whole version."""
        self._partial.discard(address)
        self.add_holder(address, zone)

    def add_partial_holder(self, address: str, zone: str) -> bool:
        """Let an engine that still fetches serve as a source; return whether that is done."""
        if not self._cut_through:
            return False
        self._partial.add(address)
        self.add_holder(address, zone)
        return True

    def use_store_for_seed(self) -> None:
        """Give up waiting for another zone's seed."""
        if self.seed is not None:
            self.seed = msgspec.structs.replace(self.seed, source=STORE_SOURCE)

    def is_foreign(self, source: str) -> bool:
        """Return whether a source belongs to another zone's manager."""
        return self.seed is not None and source == self.seed.source != STORE_SOURCE

    def is_partial(self, address: str) -> bool:
        """Return whether a source still fetches itself."""
        return address in self._partial

    def partial_failed(self) -> None:
        """Note that a fetch from an engine that still fetched failed; after some, stop using such."""
        self._partial_failures += 1
        if self._partial_failures >= self._settings.cut_through_refusals:
            self._cut_through = False
            for partial in list(self._partial):
                self.remove_holder(partial)

    def remove_holder(self, address: str) -> None:
        """Forget an engine as a source; uploads in progress may still end."""
        zone = self._zone_of.pop(address, None)
        self._partial.discard(address)
        if zone is not None:
            self._holders[zone] -= 1
            self._free[zone].pop(address, None)

    def has_any(self, zone: str) -> bool:
        """Return whether a zone has a holder or a fetch in progress."""
        return bool(self._fetching.get(zone)) or bool(self._holders.get(zone))

    def begin(self, source: str, address: str, zone: str) -> None:
        """Note that the engine at ``address`` in ``zone`` starts to fetch from ``source``."""
        self._parents[address] = source
        self._fetching[zone] = self._fetching.get(zone, 0) + 1
        if source == STORE_SOURCE:
            self._store_uploads += 1
            self.store_copies += 1
            return
        if self._zone_of.get(source) != zone:
            self._crossings[zone] = self._crossings.get(zone, 0) + 1
        self._uploads[source] = self._uploads.get(source, 0) + 1
        self._update(source)

    def end(self, source: str, address: str, zone: str) -> None:
        """Note that a fetch begun before ended, well or not."""
        self._parents.pop(address, None)
        self._fetching[zone] -= 1
        if source == STORE_SOURCE:
            self._store_uploads -= 1
            return
        self._uploads[source] -= 1
        self._update(source)

    def choose(self, address: str, zone: str, avoid_engines: bool = False) -> str | None:
        """Return a free source for the engine at ``address``, None when it must wait.

        ``avoid_engines`` asks for the store, after engines failed as sources.
        """
        if avoid_engines:
            return STORE_SOURCE if self._store_free() else None
        own = self._first_free(address, zone)
        if own is not None:
            return own
        if self.is_foreign(self._seed_source()):
            return None if self.has_any(zone) else self._seed_source()
        if self._store_free() and self.store_copies < self._settings.max_store_copies:
            return STORE_SOURCE
        if self._must_use_store():
            return STORE_SOURCE
        if self.has_any(zone) and self._crossings.get(zone, 0) >= self._settings.max_crossings:
            return None
        zones = sorted(self._free, key=lambda other: -len(self._free[other]))
        found = (self._first_free(address, other) for other in zones)
        return next((source for source in found if source is not None), None)

    def _seed_source(self) -> str:
        return STORE_SOURCE if self.seed is None else self.seed.source

    def _first_free(self, address: str, zone: str) -> str | None:
        free = self._free.get(zone, ())
        return next((source for source in free if not self._depends_on(source, address)), None)

    def _depends_on(self, source: str, address: str) -> bool:
        """Return whether a source waits, perhaps through others, for pieces from ``address``.

        Without this check two engines could wait for each other's pieces for ever.
        """
        while source != address and source in self._parents:
            source = self._parents[source]
        return source == address

    def _store_free(self) -> bool:
        return self._store_uploads < self._settings.store_streams

    def _must_use_store(self) -> bool:
        """No engine holds or fetches the version, so only the store can start over."""
        return self._store_free() and not self._zone_of and not any(self._fetching.values())

    def _reserved(self, address: str) -> int:
        """Return the uploads kept free for the next zone's seed."""
        reserves = self.seed is not None and self.seed.serves_next_zone and address == self.seed.address
        return int(reserves and self._settings.fan_out > 1)

    def _update(self, address: str) -> None:
        zone = self._zone_of.get(address)
        if zone is None:
            return
        free = self._free.setdefault(zone, {})
        if self._uploads.get(address, 0) + self._reserved(address) < self._settings.fan_out:
            free.setdefault(address)
        else:
            free.pop(address, None)
