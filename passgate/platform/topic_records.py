"""Applies records of the operator's topic to the daemon, and decodes the platform's discovery entries."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import msgspec

from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.discovery.service import ReplicaDecoder
from passgate.eligibility.evacuation import EvacuationChange
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import InvalidConfiguration, MalformedRecord
from passgate.platform import documents, names
from passgate.sharedlog.log import KeyedRecord

logger = logging.getLogger("passgate.platform")

Records = tuple[KeyedRecord, ...]


class OperatorTopicHandler:
    """Applies records of the operator's topic: the configuration, target versions and evacuations of zones.

    Nothing is sent to replicas in an evacuated zone.  A record that can not be decoded is logged and skipped,
    so that later records still apply.
    """

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    def apply_snapshot(self, records: Records, next_offset: int) -> None:
        """Apply the newest record of every key.

        An evacuation that is not among them has ended, unless another daemon reported a newer state.
        """
        # Records of a snapshot carry no offsets; the offsets set here are not used.
        changes = _evacuation_changes(records, next_offset)
        zones = [change.zone for change in changes if change.evacuated]
        self._daemon.evacuated_zones.apply_snapshot(zones, next_offset)
        self._apply_configurations_and_versions(records)

    def apply_records(self, records: Records, start: int) -> None:
        """Apply consecutive records, the first of which has the offset ``start``."""
        self._daemon.evacuated_zones.apply_changes(_evacuation_changes(records, start), start + len(records))
        self._apply_configurations_and_versions(records)

    def _apply_configurations_and_versions(self, records: Records) -> None:
        for record in records:
            try:
                self._apply_configuration_or_version(record)
            except msgspec.DecodeError as error:
                logger.warning("unreadable_record", extra={"key": record.key, "error": str(error)})

    def _apply_configuration_or_version(self, record: KeyedRecord) -> None:
        """Apply a record of the configuration or of a target version; ignores deletions and other keys.

        Raises msgspec.DecodeError.
        """
        if not record.value:
            return
        if record.key == names.CONFIGURATION_KEY:
            self._daemon.apply_configuration(documents.decode_config(record.value))
        elif record.key.startswith(names.VERSION_KEY_PREFIX):
            self._daemon.target_versions.offer(*documents.decode_version(record.value))


def _evacuation_changes(records: Records, start: int) -> Iterator[EvacuationChange]:
    """Yield the evacuations that records start or end: an empty value ends one, any other starts one.

    The value is not decoded, so a malformed value takes its zone out of use as well.
    """
    for offset, record in enumerate(records, start):
        if not record.key.startswith(names.EVACUATION_KEY_PREFIX):
            continue
        try:
            zone = documents.zone_of_evacuation_key(record.key)
        except InvalidConfiguration as error:
            logger.warning("unreadable_record", extra={"key": record.key, "error": str(error)})
            continue
        yield EvacuationChange(offset=offset, zone=zone, evacuated=bool(record.value))


class PlatformReplicaDecoder(ReplicaDecoder):
    """Decodes entries of the platform's discovery topic."""

    def decode(self, record: KeyedRecord) -> ReplicaInfo:
        """Return the replica of an entry; raises MalformedRecord if the entry is not valid."""
        try:
            return documents.decode_replica(record.key, record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MalformedRecord(str(error)) from error
