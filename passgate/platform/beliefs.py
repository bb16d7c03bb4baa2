"""Hands what stands under the platform's keys to the daemon."""

from __future__ import annotations

import logging

import msgspec

from passgate.decisions import ReplicaChanged
from passgate.gateway.daemon import GatewayDaemon
from passgate.gateway.replicas import ReplicaInfo
from passgate.platform import documents, names
from passgate.sharedlog.log import KeyedRecord

logger = logging.getLogger("passgate.platform")

Records = tuple[KeyedRecord, ...]


class Beliefs:
    """Translation of the operator's topic and the replicas' topic."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        self._daemon = daemon

    def take_operator(self, records: Records) -> None:
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

    def replace_replicas(self, records: Records) -> None:
        """Take the whole list of replicas."""
        infos = [info for record in records if record.value and (info := _replica(record)) is not None]
        self._daemon.replicas.replace_all(infos)

    def update_replicas(self, records: Records) -> None:
        """Take changes of the list."""
        newest = {record.key: record for record in records}
        for record in newest.values():
            if not record.value:
                self._daemon.replicas.remove(record.key)
                self._note(record.key, "", "gone")
            elif (info := _replica(record)) is not None:
                self._put(info)

    def _put(self, info: ReplicaInfo) -> None:
        known = self._daemon.replicas.get(info.replica_id)
        if known is None or known.info.draining != info.draining:
            self._note(info.replica_id, info.service, "draining" if info.draining else "ready")
        self._daemon.replicas.put(info)

    def _note(self, replica_id: str, service: str, state: str) -> None:
        self._daemon.decisions.write(ReplicaChanged(replica_id=replica_id, service=service, state=state))


def _replica(record: KeyedRecord) -> ReplicaInfo | None:
    try:
        return documents.decode_replica(record.key, record.value)
    except msgspec.DecodeError as error:
        logger.warning("unreadable_record", extra={"key": record.key, "error": str(error)})
        return None
