"""Learns from other daemons what the operator wrote while the log does not answer this one.

The log may turn a third of the machines away for many seconds while the operator goes on:
a key that is taken away must stop here too.  A daemon whose view of the operator's topic is
older than ASK_AFTER_S asks a few others for a newer configuration and for the evacuated zones,
and notes how old their view is.  What it learns is put in force like a record of the log: only a
higher version counts, and of the evacuated zones only a view up to a higher offset.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ConfigurationLearned, DecisionLog
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationView
from passgate.errors import PeerError
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

CONFIGURATION_METHOD = "configuration.newer"
ASK_AFTER_S = 1.3
"""Age of the view from which others are asked; a long poll of a calm log confirms it each 1.0 s."""
ASK_GAP_S = 0.5
"""Time between questions; a configuration of 3 s of patience is found in good time after four."""
MOST_ASKED = 3
"""Daemons asked at once: if a third of all are turned away, all three are in 4 of 100 questions."""
ANSWER_S = 0.4
"""Time for an answer; a round trip between zones takes 1 ms, a starved daemon some hundred."""
TICK_S = 0.1
"""Time between looks at the age of the view; a tenth of the time between questions."""
NEVER_S = float("-inf")


class NewerConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a configuration newer than a version."""

    version: int


class KnownEvacuations(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's view of the evacuated zones, and how old it is."""

    age_s: float
    view: EvacuationView


class KnownConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's configuration, if it is newer, and how old its view of the log is."""

    age_s: float
    config: GatewayConfig | None = None
    evacuations: KnownEvacuations | None = None
    """None from a daemon that knows nothing of them: of an earlier release, or one that has just started."""


class ConfigurationPeers:
    """Asks other daemons for their view of the operator's topic, and answers them."""

    def __init__(
        self,
        transport: PeerTransport,
        others: Callable[[], list[str]],
        config: ConfigHolder,
        evacuated: EvacuatedZones,
        log_age_s: Callable[[], float],
        put: Callable[[GatewayConfig], None],
        decisions: DecisionLog,
    ) -> None:
        """Connect the parts.

        Args:
            transport: carries questions to other daemons.
            others: returns the names of other daemons, in any order.
            config: the configuration in force.
            evacuated: the evacuated zones as far as they are known.
            log_age_s: returns the age of this daemon's own view of the operator's topic.
            put: puts a configuration in force.
            decisions: where decisions are noted.
        """
        self._transport = transport
        self._others = others
        self._config = config
        self._evacuated = evacuated
        self._log_age_s = log_age_s
        self._put = put
        self._decisions = decisions
        self._confirmed_s = NEVER_S
        """Moment at which, by what others told, the configuration in force was the newest."""
        self._evacuations_confirmed_s = NEVER_S
        """The same of the evacuated zones, of which daemons of earlier releases tell nothing."""

    def age_s(self) -> float:
        """Return for how long the configuration in force may have been superseded, as far as is known."""
        return min(self._log_age_s(), monotonic_s() - self._confirmed_s)

    def evacuations_age_s(self) -> float:
        """Return for how long another zone may have been evacuated, or an evacuation have ended, unknown."""
        return min(self._log_age_s(), monotonic_s() - self._evacuations_confirmed_s)

    async def run(self) -> None:
        """Ask while the log does not answer, until cancelled."""
        while True:
            if self._log_age_s() < ASK_AFTER_S:
                await asyncio.sleep(TICK_S)
                continue
            asked = self._others()[:MOST_ASKED]
            await asyncio.gather(*(self._ask(member) for member in asked))
            await asyncio.sleep(ASK_GAP_S)

    async def _ask(self, member: str) -> None:
        question = msgspec.json.encode(NewerConfiguration(version=self._config.version))
        began_s = monotonic_s()
        try:
            payload = await self._transport.call(address_of(member), CONFIGURATION_METHOD, question, ANSWER_S)
            known = msgspec.json.decode(payload, type=KnownConfiguration)
        except (PeerError, msgspec.DecodeError):
            return  # others are asked at the same time, and again soon
        if known.config is not None and known.config.version > self._config.version:
            self._learn_config(member, known.config, known.age_s)
        self._confirmed_s = max(self._confirmed_s, began_s - known.age_s)
        if known.evacuations is not None:
            self._learn_evacuations(member, known.evacuations, began_s)

    def _learn_config(self, member: str, config: GatewayConfig, age_s: float) -> None:
        self._decisions.write(
            ConfigurationLearned(
                version=config.version,
                peer=address_of(member),
                age_ms=round(age_s * 1000, 1),
                log_age_ms=round(self._log_age_s() * 1000, 1),
            )
        )
        self._put(config)

    def _learn_evacuations(self, member: str, known: KnownEvacuations, began_s: float) -> None:
        self._evacuated.learn(known.view, peer=address_of(member), age_s=known.age_s)
        if known.view.offset >= self._evacuated.view.offset:
            self._evacuations_confirmed_s = max(self._evacuations_confirmed_s, began_s - known.age_s)

    def answer(self, payload: bytes) -> bytes:
        """Answer another daemon with what the operator wrote as it is known here, and how old it may be."""
        question = msgspec.json.decode(payload, type=NewerConfiguration)
        table = self._config.table
        newer = table is not None and table.config.version > question.version
        return msgspec.json.encode(
            KnownConfiguration(
                age_s=self.age_s(),
                config=table.config if newer else None,
                evacuations=self._known_evacuations(),
            )
        )

    def _known_evacuations(self) -> KnownEvacuations | None:
        age_s = self.evacuations_age_s()
        if math.isinf(age_s):
            return None
        return KnownEvacuations(age_s=age_s, view=self._evacuated.view)
