"""Reads the settings file that the platform provides, and reads it again when it changes."""

from __future__ import annotations

import asyncio
import logging
import os

import msgspec
import yaml

from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.errors import SettingsError
from passgate.gateway.settings import DutySettings, GatewaySettings, ScalingPolicy
from passgate.platform import names
from passgate.platform.log_client import PlatformLog

logger = logging.getLogger("passgate.platform")

CHECK_INTERVAL_S = 2.0
"""Interval of the checks whether the settings file has changed; SIGHUP reloads it at once."""

RETENTION_MARGIN_S = 30.0
"""Time for which a job stays readable beyond the time that the platform requires (``statusS``)."""


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    graceS: float = 8.0  # noqa: N815  (names of the platform)
    leaseMs: float = 3000.0  # noqa: N815
    statusS: float = 120.0  # noqa: N815
    failClosed: bool = False  # noqa: N815
    revokeMs: float = 5000.0  # noqa: N815
    usageWindowS: float = 5.0  # noqa: N815
    usageLateS: float = 10.0  # noqa: N815
    coldOvershoot: float = 1.0  # noqa: N815
    coldSlack: float = 0.0  # noqa: N815


class _Platform(msgspec.Struct, frozen=True):
    address: str
    parts: int = 4
    ttl_min_ms: float = 1000.0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


class _Cloud(msgspec.Struct, frozen=True):
    address: str
    dutyPerS: float = 50.0  # noqa: N815
    duties: tuple[str, ...] = ()


class _Experiments(msgspec.Struct, frozen=True):
    """Experimental features, all off by default; settings files of the platform lack this section."""

    scaling: ScalingPolicy = ScalingPolicy.NEVER


class _Limits(msgspec.Struct, frozen=True):
    maxFds: int = 8200  # noqa: N815
    cpuShare: float = 1.0  # noqa: N815
    """Fraction of the time for which the process may run."""
    cores: float = 1.0
    """Speed while the process runs, relative to a reference core; not a number of threads."""


class _Node(msgspec.Struct, frozen=True, kw_only=True):
    node: str
    zone: str
    zones: dict[str, str] = {}
    """Region by zone."""
    listen: _Listen
    ip: str = ""
    portRange: tuple[int, ...] = ()  # noqa: N815  (name of the platform)
    platform: _Platform
    bounds: _Bounds = _Bounds()
    cloud: _Cloud | None = None
    experiments: _Experiments = _Experiments()
    limits: _Limits = _Limits()


def settings_path() -> str:
    """Return the path of the settings file: the value of ``PASSGATE_BOOT``, or a default path."""
    return os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH)


def parse_settings(text: str) -> GatewaySettings:
    """Return the settings in a YAML text; raises SettingsError."""
    try:
        node = msgspec.convert(yaml.load(text, Loader=yaml.CSafeLoader), _Node, strict=False)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(f"settings file is not valid: {error}") from error
    return GatewaySettings(
        daemon_id=node.node,
        zone=node.zone,
        front_address=node.listen.front,
        ready_address=node.listen.ready,
        log_address=node.platform.address,
        peer_address=_peer_address(node),
        log_parts=node.platform.parts,
        group_lifetime_s=node.platform.ttl_min_ms / 1000,
        stop_grace_s=node.bounds.graceS,
        lease_s=node.bounds.leaseMs / 1000,
        job_retention_s=node.bounds.statusS + RETENTION_MARGIN_S,
        max_record_bytes=node.platform.record_bytes,
        max_append_bytes=node.platform.call_bytes,
        max_connections=node.limits.maxFds - 200,
        cores=node.limits.cpuShare * node.limits.cores,
        fail_closed=node.bounds.failClosed,
        configuration_age_s=node.bounds.revokeMs / 1000,
        duties=_duties(node),
        regions=node.zones,
        cold_overshoot=node.bounds.coldOvershoot,
        cold_slack=node.bounds.coldSlack,
    )


def _duties(node: _Node) -> DutySettings | None:
    cloud = node.cloud
    if cloud is None:
        return None
    return DutySettings(
        address=cloud.address,
        calls_per_s=cloud.dutyPerS,
        usage=names.USAGE_DUTY in cloud.duties,
        scaling=node.experiments.scaling if names.SCALING_DUTY in cloud.duties else ScalingPolicy.NEVER,
        usage_window_s=node.bounds.usageWindowS,
        usage_due_s=node.bounds.usageLateS,
    )


def _peer_address(node: _Node) -> str:
    host = node.ip or node.listen.front.rpartition(":")[0]
    port = node.portRange[0] if node.portRange else 0
    return f"{host}:{port}"


def read_settings(path: str) -> GatewaySettings:
    """Return the settings in a file; raises SettingsError if it can not be read or is not valid."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except OSError as error:
        raise SettingsError(f"settings file can not be read: {error}") from error


class SettingsWatcher:
    """Applies the settings file to the daemon and its log client after a change of the file.

    A change is noticed by the file's modification time or size.
    """

    def __init__(self, daemon: GatewayDaemon, log: PlatformLog, path: str) -> None:
        self._daemon = daemon
        self._log = log
        self._path = path
        self._last_stamp = self._file_stamp()

    async def run(self) -> None:
        """Check the file periodically until cancelled, and reload it after a change."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            stamp = self._file_stamp()
            if stamp != self._last_stamp:
                self.reload()

    def reload(self) -> None:
        """Read and apply the settings; an unreadable or invalid file is logged and changes nothing."""
        self._last_stamp = self._file_stamp()
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            logger.warning("settings_unreadable", extra={"error": str(error)})
            return
        self._log.set_address(settings.log_address)
        self._daemon.apply_settings(settings)

    def _file_stamp(self) -> tuple[int, int]:
        """Return the file's modification time in nanoseconds and its size; zeros if there is no file."""
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
