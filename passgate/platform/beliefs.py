"""Hands what stands under the platform's keys to the daemon."""

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


class Beliefs:
    """Translation of the operator's topic."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    def replace_operator(self, records: Records, next_offset: int) -> None:
        """Take the newest record of every key; an evacuation that is not among them has ended."""
        # The records of a snapshot don't tell their offsets, and only their zones are used.
        evacuations = _evacuations(records, next_offset)
        zones = [change.zone for change in evacuations if change.evacuated]
        self._daemon.evacuated.replace(zones, next_offset)
        self._take_others(records)

    def update_operator(self, records: Records, start: int) -> None:
        """Take further records, the first of which stands at an offset."""
        self._daemon.evacuated.update(_evacuations(records, start), start + len(records))
        self._take_others(records)

    def _take_others(self, records: Records) -> None:
        """Take configurations and named versions."""
        for record in records:
            try:
                self._take_operator_record(record)
            except msgspec.DecodeError as error:
                logger.warning("unreadable_record", extra={"key": record.key, "error": str(error)})

    def _take_operator_record(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        if record.key == names.CONFIGURATION_KEY:
            self._daemon.put_config(documents.decode_config(record.value))
        elif record.key.startswith(names.VERSION_KEY_PREFIX):
            self._daemon.wanted.offer(*documents.decode_version(record.value))


def _evacuations(records: Records, start: int) -> Iterator[EvacuationChange]:
    """Return what begins or ends an evacuation; any value begins one, an empty one ends it.

    A value that can not be read must not leave a zone in use that the operator wants empty.
    """
    for offset, record in enumerate(records, start):
        if not record.key.startswith(names.EVACUATION_KEY_PREFIX):
            continue
        try:
            zone = documents.evacuated_zone(record.key)
        except InvalidConfiguration as error:
            logger.warning("unreadable_record", extra={"key": record.key, "error": str(error)})
            continue
        yield EvacuationChange(offset=offset, zone=zone, evacuated=bool(record.value))


class PlatformReplicaDecoder(ReplicaDecoder):
    """Reads entries of the platform's discovery."""

    def decode(self, record: KeyedRecord) -> ReplicaInfo:
        """Return the replica of an entry; raises MalformedRecord if it names none to use."""
        try:
            return documents.decode_replica(record.key, record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MalformedRecord(str(error)) from error
