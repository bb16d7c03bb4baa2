"""Fetches newer configurations and sets of evacuated zones from other daemons while the log is unreachable.

A revoked API key must stop working also on daemons that can not read the log, which may refuse a third of the
machines for many seconds while it serves the operator.  A daemon whose view of the operator's topic is older
than POLL_AFTER_S polls a few peers.  It applies a configuration that they
report only if the version is higher, and evacuated zones only if they are as of a higher log offset.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ConfigurationReceivedFromPeer, DecisionLog
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationView
from passgate.errors import PeerError
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

CONFIGURATION_METHOD = "configuration.newer"
POLL_AFTER_S = 1.3
"""Age of this daemon's view of the operator's topic from which on it polls peers.  It exceeds the 1 s after
which a long poll of the log without new records returns and confirms the view."""
POLL_INTERVAL_S = 0.5
"""Pause after each round of polls."""
MAX_PEERS_POLLED = 3
"""Maximum number of peers polled in a round; several, as some of them may not reach the log either."""
RESPONSE_TIMEOUT_S = 0.4
"""Timeout of the poll of one peer."""
AGE_CHECK_INTERVAL_S = 0.1
"""Time between checks of the view's age while peers are not polled."""
NEVER_S = float("-inf")
"""Loop time of a confirmation that has not happened yet."""


class ConfigurationQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for its evacuated zones, and for its configuration if that is newer than a version."""

    version: int
    """Version of the active configuration of the daemon that asks."""


class EvacuationSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's view of the evacuated zones, to which nothing is sent."""

    age_s: float
    """Time since the view was last confirmed to be the newest."""
    view: EvacuationView


class ConfigurationSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ConfigurationQuery."""

    age_s: float
    """Time since the answering daemon's configuration was last confirmed to be the newest."""
    config: GatewayConfig | None = None
    """The answering daemon's configuration; None if it is not newer than the version of the query."""
    evacuations: EvacuationSnapshot | None = None
    """None if the answering daemon has no confirmed view yet, or is of a release without this field."""


class PeerConfigurationPoller:
    """Polls peer daemons for the operator's configuration and evacuations, and answers their queries."""

    def __init__(
        self,
        transport: PeerTransport,
        list_other_members: Callable[[], list[str]],
        config_holder: ConfigHolder,
        evacuated_zones: EvacuatedZones,
        log_age_s: Callable[[], float],
        apply_config: Callable[[GatewayConfig], None],
        decisions: DecisionLog,
    ) -> None:
        """Create the poller; :meth:`run` does the polling.

        Args:
            transport: carries queries to peers.
            list_other_members: returns the names of the other daemons in random order; the first are polled.
            config_holder: holds the active configuration.
            evacuated_zones: gets peers' views of the evacuated zones if they are newer.
            log_age_s: returns the time since the log last confirmed this daemon's view of the operator's
                topic as complete; infinite before the first time.
            apply_config: makes a newer configuration the active one, unless it is inconsistent.
            decisions: decision log.
        """
        self._transport = transport
        self._list_other_members = list_other_members
        self._config_holder = config_holder
        self._evacuated_zones = evacuated_zones
        self._log_age_s = log_age_s
        self._apply_config = apply_config
        self._decisions = decisions
        self._config_confirmed_at_s = NEVER_S
        """Last loop time at which, according to a peer, no newer configuration existed."""
        self._evacuations_confirmed_at_s = NEVER_S
        """Last loop time at which, according to a peer, the view of the evacuated zones was the newest."""

    def configuration_age_s(self) -> float:
        """Return the time since the log or a peer last confirmed that no newer configuration exists.

        Infinite before the first time.
        """
        return min(self._log_age_s(), monotonic_s() - self._config_confirmed_at_s)

    def evacuations_age_s(self) -> float:
        """Return the time since the log or a peer last confirmed the set of evacuated zones as the newest.

        Infinite before the first time.
        """
        return min(self._log_age_s(), monotonic_s() - self._evacuations_confirmed_at_s)

    async def run(self) -> None:
        """Poll peers while this daemon's view of the operator's topic is too old; runs until cancelled."""
        while True:
            if self._log_age_s() < POLL_AFTER_S:
                await asyncio.sleep(AGE_CHECK_INTERVAL_S)
                continue
            peers = self._list_other_members()[:MAX_PEERS_POLLED]
            await asyncio.gather(*(self._poll_peer(peer) for peer in peers))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_peer(self, peer: str) -> None:
        query = msgspec.json.encode(ConfigurationQuery(version=self._config_holder.version))
        queried_at_s = monotonic_s()
        try:
            payload = await self._transport.call(
                address_of(peer), CONFIGURATION_METHOD, query, RESPONSE_TIMEOUT_S
            )
            snapshot = msgspec.json.decode(payload, type=ConfigurationSnapshot)
        except (PeerError, msgspec.DecodeError):
            return  # the next round polls again
        if snapshot.config is not None and snapshot.config.version > self._config_holder.version:
            self._apply_newer_config(peer, snapshot.config, snapshot.age_s)
        self._config_confirmed_at_s = max(self._config_confirmed_at_s, queried_at_s - snapshot.age_s)
        if snapshot.evacuations is not None:
            self._apply_evacuations(peer, snapshot.evacuations, queried_at_s)

    def _apply_newer_config(self, peer: str, config: GatewayConfig, age_s: float) -> None:
        self._decisions.write(
            ConfigurationReceivedFromPeer(
                version=config.version,
                peer=address_of(peer),
                age_ms=round(age_s * 1000, 1),
                log_age_ms=round(self._log_age_s() * 1000, 1),
            )
        )
        self._apply_config(config)

    def _apply_evacuations(self, peer: str, snapshot: EvacuationSnapshot, queried_at_s: float) -> None:
        self._evacuated_zones.adopt_newer_view(snapshot.view, peer=address_of(peer), age_s=snapshot.age_s)
        if snapshot.view.offset >= self._evacuated_zones.view.offset:
            self._evacuations_confirmed_at_s = max(
                self._evacuations_confirmed_at_s, queried_at_s - snapshot.age_s
            )

    def handle_request(self, payload: bytes) -> bytes:
        """Answer a peer's ConfigurationQuery with an encoded ConfigurationSnapshot.

        Raises msgspec.DecodeError for an unreadable payload.
        """
        query = msgspec.json.decode(payload, type=ConfigurationQuery)
        table = self._config_holder.table
        is_newer = table is not None and table.config.version > query.version
        return msgspec.json.encode(
            ConfigurationSnapshot(
                age_s=self.configuration_age_s(),
                config=table.config if is_newer else None,
                evacuations=self._evacuation_snapshot(),
            )
        )

    def _evacuation_snapshot(self) -> EvacuationSnapshot | None:
        age_s = self.evacuations_age_s()
        if math.isinf(age_s):
            return None  # no view was ever confirmed, so the empty set does not mean "no evacuation"
        return EvacuationSnapshot(age_s=age_s, view=self._evacuated_zones.view)
