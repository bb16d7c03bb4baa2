"""Fetches newer configurations and evacuations from peer daemons while the log is unreachable.

A revoked API key must stop working also on daemons that can not read the log.  A daemon whose view of
the operator's topic is older than POLL_AFTER_S polls a few peers, and applies what they report only if
it is newer: a configuration of a higher version, evacuations as of a higher log offset.
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
"""Age of the own view from which on peers are polled; the log's long poll confirms the view every 1 s."""
POLL_INTERVAL_S = 0.5
"""Pause between polls; it leaves several polls within the 3 s in which a configuration must be applied."""
MAX_PEERS_POLLED = 3
"""Peers polled at once, as some of them may not reach the log either."""
RESPONSE_TIMEOUT_S = 0.4
"""Timeout of a peer's response; it covers a daemon that is short of processor time."""
AGE_CHECK_INTERVAL_S = 0.1
"""Time between checks of the own view's age."""
NEVER_S = float("-inf")
"""Loop time of a confirmation that has not happened yet."""


class ConfigurationQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for a configuration newer than a version."""

    version: int


class EvacuationSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's view of the evacuated zones."""

    age_s: float
    """Time since the view was last confirmed to be the newest."""
    view: EvacuationView


class ConfigurationSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ConfigurationQuery."""

    age_s: float
    """Time since the answering daemon's configuration was last confirmed to be the newest."""
    config: GatewayConfig | None = None
    """The daemon's configuration; None if it is not newer than the version of the query."""
    evacuations: EvacuationSnapshot | None = None
    """None from a daemon of an earlier release, or from one that has not read the topic yet."""


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
            config_holder: holds the active configuration, with which the version is compared.
            evacuated_zones: is updated with peers' views.
            log_age_s: returns the time since this daemon's own view of the operator's topic was confirmed.
            apply_config: makes a newer configuration the active one.
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
        """Last loop time at which, according to a peer, the active configuration was the newest."""
        self._evacuations_confirmed_at_s = NEVER_S
        """The same for the evacuated zones; separate, as peers of earlier releases don't report them."""

    def configuration_age_s(self) -> float:
        """Return the time since the log or a peer confirmed the active configuration as the newest."""
        return min(self._log_age_s(), monotonic_s() - self._config_confirmed_at_s)

    def evacuations_age_s(self) -> float:
        """Return the time since the set of evacuated zones was confirmed as the newest; may be infinite."""
        return min(self._log_age_s(), monotonic_s() - self._evacuations_confirmed_at_s)

    async def run(self) -> None:
        """Poll peers whenever the own view of the log is too old; runs until cancelled."""
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
            return  # other peers are polled at the same time, and the poll is repeated
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
            return None  # the topic was never read, so the empty view means nothing
        return EvacuationSnapshot(age_s=age_s, view=self._evacuated_zones.view)
