"""Creates a daemon's replica table, with the rules that exclude replicas."""

from __future__ import annotations

from passgate.clock import monotonic_s
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationRule
from passgate.eligibility.known_service import KnownServiceRule
from passgate.eligibility.regions import RegionRule
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder
from passgate.gateway.settings import GatewaySettings


def make_replica_table(
    settings: GatewaySettings,
    config_holder: ConfigHolder,
    evacuated_zones: EvacuatedZones,
    metrics: GatewayMetrics,
) -> ReplicaTable:
    """Return an empty table with the rules for regions, evacuated zones and unknown services.

    The table itself adds the rules for draining and cold replicas.  When a zone's evacuation ends, the zone's
    replicas are marked as possibly cold.
    """
    replicas = ReplicaTable(settings.topology)
    evacuated_zones.on_evacuation_ended.append(
        lambda zone: replicas.mark_zone_possibly_cold(zone, monotonic_s())
    )
    replicas.send_rules.add(RegionRule(settings.topology, metrics.count_region_send))
    replicas.send_rules.add(EvacuationRule(evacuated_zones))
    replicas.send_rules.add(KnownServiceRule(config_holder.has_service))
    metrics.register_exclusions(replicas.send_rules.exclusion_counts)
    return replicas
