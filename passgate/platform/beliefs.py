"""Hands what stands under the platform's keys to the daemon."""

from __future__ import annotations

import logging

import msgspec

from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.discovery.service import ReplicaDecoder
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import MalformedRecord
from passgate.platform import documents, names
from passgate.sharedlog.log import KeyedRecord

logger = logging.getLogger("passgate.platform")

Records = tuple[KeyedRecord, ...]


class Beliefs:
    """Translation of the operator's topic."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    def take_operator(self, records: Records, start: int) -> None:
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


class PlatformReplicaDecoder(ReplicaDecoder):
    """Reads entries of the platform's discovery."""

    def decode(self, record: KeyedRecord) -> ReplicaInfo:
        """Return the replica of an entry; raises MalformedRecord if it names none to use."""
        try:
            return documents.decode_replica(record.key, record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MalformedRecord(str(error)) from error
