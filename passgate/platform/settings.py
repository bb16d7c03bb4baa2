"""Reads the platform's settings file."""

from __future__ import annotations

import os

import msgspec
import yaml

from passgate.errors import SettingsError
from passgate.gateway.settings import GatewaySettings
from passgate.platform import names

RETENTION_MARGIN_S = 30.0
"""A job stays readable for this much longer than the platform asks."""


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    graceS: float = 8.0  # noqa: N815  (names of the platform)
    leaseMs: float = 3000.0  # noqa: N815
    statusS: float = 120.0  # noqa: N815


class _Platform(msgspec.Struct, frozen=True):
    address: str
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


class _Limits(msgspec.Struct, frozen=True):
    maxFds: int = 8200  # noqa: N815


class _Node(msgspec.Struct, frozen=True):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH)


def parse_settings(text: str) -> GatewaySettings:
    """Return the settings of a file's text; raises SettingsError."""
    try:
        node = msgspec.convert(yaml.load(text, Loader=yaml.CSafeLoader), _Node, strict=False)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(f"settings file: {error}") from error
    return GatewaySettings(
        daemon_id=node.node,
        zone=node.zone,
        front_address=node.listen.front,
        ready_address=node.listen.ready,
        log_address=node.platform.address,
        stop_grace_s=node.bounds.graceS,
        lease_s=node.bounds.leaseMs / 1000,
        job_retention_s=node.bounds.statusS + RETENTION_MARGIN_S,
        max_record_bytes=node.platform.record_bytes,
        max_append_bytes=node.platform.call_bytes,
        max_connections=node.limits.maxFds - 200,
    )


def read_settings(path: str) -> GatewaySettings:
    """Return the settings of a file; raises SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except OSError as error:
        raise SettingsError(f"settings file can not be read: {error}") from error
