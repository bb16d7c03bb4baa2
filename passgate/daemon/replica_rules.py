"""The replicas that a daemon knows, with the rules that keep requests from some of them."""

from __future__ import annotations

from passgate.clock import monotonic_s
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationRule
from passgate.eligibility.known_service import KnownServiceRule
from passgate.eligibility.regions import RegionRule
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replicas import ReplicaTable
from passgate.gateway.routes import ConfigHolder
from passgate.gateway.settings import GatewaySettings


def make_replicas(
    settings: GatewaySettings, config: ConfigHolder, evacuated: EvacuatedZones, metrics: GatewayMetrics
) -> ReplicaTable:
    """Return a table without replicas and with all rules; those that leave or are cold are its own."""
    replicas = ReplicaTable(settings.places)
    evacuated.on_ended.append(lambda zone: replicas.turned_cold(zone, monotonic_s()))
    replicas.rules.add(RegionRule(settings.places, metrics.count_region_send))
    replicas.rules.add(EvacuationRule(evacuated))
    replicas.rules.add(KnownServiceRule(config.names_service))
    metrics.show_kept_back(replicas.rules.kept_back)
    return replicas
