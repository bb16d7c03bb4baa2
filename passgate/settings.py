"""Settings of one daemon: typed, read from a YAML file, overridden by flags.

A daemon takes its addresses and its zone from its settings only.

>>> settings = parse_settings(
...     "daemon_id: a1\\nzone: a\\nlog_address: 127.0.0.1:9000\\nmachine_list_address: 127.0.0.1:9001",
...     {"zone": "b", "limits.max_body_bytes": "1024"},
... )
>>> settings.zone, settings.limits.max_body_bytes
('b', 1024)
>>> parse_settings("daemon_id: a1\\nzoen: a")
Traceback (most recent call last):
    ...
passgate.errors.SettingsError: settings text, key zoen: unknown key, expected one of: ...
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec
import yaml

from passgate.errors import SettingsError

IDENTIFIER_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
"""Pattern of daemon identifiers, zones and caller names."""

LABEL_KEY_PATTERN = r"^[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?$"
LABEL_VALUE_PATTERN = r"^([A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?)?$"

FLAGS_SOURCE = "flags"
"""Name that error messages use for settings given on the command line."""

ADDRESS_FORM = "IP:port with a numeric IP and a port from 0 to 65535, for example 127.0.0.1:8100"


class Credential:
    """A secret whose text is never shown by ``repr``, in logs or in error messages."""

    __slots__ = ("_secret",)

    def __init__(self, secret: str) -> None:
        self._secret = secret

    def reveal(self) -> str:
        """Return the secret text; use it only to compare or send it."""
        return self._secret

    def __bool__(self) -> bool:
        return bool(self._secret)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Credential) and other._secret == self._secret

    def __hash__(self) -> int:
        return hash(self._secret)

    def __repr__(self) -> str:
        return "Credential(***)"


class CredentialSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bearer credentials; a port whose credential is empty requires none."""

    operators: Credential = Credential("")
    """Required on the operators' port, except for ``/healthz`` and ``/readyz``."""
    peers: Credential = Credential("")
    """Required between daemons; the same on all of them."""
    platform: Credential = Credential("")
    """Sent to the log, the machine list and the weight store."""
    callers: dict[str, Credential] = {}
    """Credential by caller name; if set, a request's credential determines its caller."""


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on requests to the daemon."""

    max_body_bytes: int = 8_388_608
    """Largest body of a request; a larger one is answered with 413."""
    max_header_bytes: int = 16_384
    """Largest total size of header names and values; a larger one is answered with 431."""
    max_headers: int = 100
    """Most header lines; more are answered with 431."""
    body_timeout_s: float = 30.0
    """Time within which the complete body has to be received; otherwise the answer is 408."""
    write_timeout_s: float = 60.0
    """The connection of a caller that reads nothing of its answer for this long is closed."""
    idle_connection_timeout_s: float = 300.0
    """Time after which an idle keep-alive connection is closed."""
    max_in_flight: int = 10_000
    """Most requests in progress; further ones are refused as overloaded."""
    max_prompt_tokens: int = 131_072
    """Longest prompt of one request."""
    max_output_tokens: int = 131_072
    """Largest ``max_tokens`` of one request."""
    max_lot_prompts: int = 16_384
    """Most prompts in one lot."""
    max_samples_page: int = 1_024
    """Most samples in one page."""
    max_wait_s: float = 30.0
    """Longest time that a read of samples may wait."""
    default_deadline_s: float = 600.0
    """Deadline of a request that has none, in seconds from its arrival."""
    max_deadline_s: float = 86_400.0
    """Longest deadline that a request may set, in seconds from its arrival."""
    outcome_grace_s: float = 30.0
    """Time after its deadline for which the answer of a sent at-most-once call is still awaited, so
    that a repetition with the same key gets it."""
    durability_timeout_s: float = 5.0
    """Time within which the log has to confirm a required record; otherwise it counts as not durable."""


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Steps of a graceful shutdown; all times in seconds."""

    notice_s: float = 5.0
    """Time for which the daemon reports that it is not ready, but still accepts requests."""
    drain_timeout_s: float = 3_600.0
    """Longest wait for requests in progress, after the notice."""
    leave_timeout_s: float = 5.0
    """Timeout of each step of leaving: finishing rollout orders, releasing leases, notifying peers."""
    retry_after_s: float = 1.0
    """``Retry-After`` of requests that are refused because the daemon starts, stops or is overloaded."""


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All settings of one daemon."""

    daemon_id: str
    """Unique name of this daemon."""
    zone: str
    """Zone of the machine that this daemon runs on."""
    log_address: str
    """``IP:port`` of the platform's log service."""
    machine_list_address: str
    """``IP:port`` of the platform's machine list."""
    weight_store_address: str = ""
    """``IP:port`` of the platform's weight store; may be empty if this daemon orders no rollouts."""
    caller_address: str = "127.0.0.1:0"
    """``IP:port`` to listen on for callers; port 0 picks a free one."""
    operator_address: str = "127.0.0.1:0"
    """``IP:port`` to listen on for operators and for metrics."""
    peer_address: str = "127.0.0.1:0"
    """``IP:port`` to listen on for other daemons."""
    seeds: tuple[str, ...] = ()
    """Peer addresses of some other daemons, through which this one joins."""
    labels: dict[str, str] = {}
    """Labels of this daemon, shown by ``passgate watch``."""
    policy: str = "current"
    """Name of the routing policy, see ``routing.policies``."""
    random_seed: int | None = None
    """Seed of the daemon's random numbers; without one, the system provides it."""
    log_level: str = "INFO"
    """Lowest level of log lines: DEBUG, INFO, WARNING or ERROR."""
    limits: LimitSettings = LimitSettings()
    """Limits on requests."""
    stop: StopSettings = StopSettings()
    """Graceful shutdown."""
    credentials: CredentialSettings = CredentialSettings()
    """Bearer credentials."""


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that raises _DuplicateKey if a mapping repeats a key."""


def _construct_unique_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen: set[Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if key in seen:
            line = key_node.start_mark.line + 1
            raise _DuplicateKey(str(key), line)
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


class _DuplicateKey(yaml.YAMLError):
    def __init__(self, key: str, line: int) -> None:
        super().__init__(key)
        self.key = key
        self.line = line


_UniqueKeyLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping)


def load_settings(path: str | Path, overrides: Mapping[str, str] | None = None) -> Settings:
    """Read a settings file and override it by flags.

    Args:
        path: YAML file; empty if flags give all settings.
        overrides: text of each flag by dotted key.

    Raises:
        SettingsError: details give ``file``, ``key`` and ``expected``.
    """
    if not str(path):
        return parse_settings("", overrides, source=FLAGS_SOURCE)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(
            str(path), "", f"can not be read ({type(error).__name__})", "a YAML file"
        ) from error
    return parse_settings(text, overrides, source=str(path))


def load_unique_yaml(text: str, source: str) -> Any:
    """Return the value of a YAML text in which no mapping repeats a key.

    Raises:
        SettingsError: the text is not YAML or repeats a key.
    """
    try:
        return yaml.load(text, Loader=_UniqueKeyLoader)  # noqa: S506 - a SafeLoader
    except _DuplicateKey as error:
        problem = f"given twice (line {error.line})"
        raise _settings_error(source, error.key, problem, "each key once") from error
    except (yaml.YAMLError, TypeError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}" if mark else "the document"
        raise _settings_error(source, "", f"{where} is not YAML", "a YAML mapping") from error


def parse_settings(
    text: str, overrides: Mapping[str, str] | None = None, source: str = "settings text"
) -> Settings:
    """Return validated settings from YAML text, overridden by flags; raises SettingsError.

    Types in YAML are checked strictly; flags are text and are converted.
    """
    document = load_unique_yaml(text, source)
    if document is None:
        document = {}
    if not isinstance(document, dict):
        raise _settings_error(source, "", f"is a {type(document).__name__}", "a YAML mapping of settings")
    settings = _convert(document, source, strict=True, partial=bool(overrides))
    for key, value in (overrides or {}).items():
        _set_override(document, key, str(value))
    if overrides:
        settings = _convert(
            document,
            source if source == FLAGS_SOURCE else f"{FLAGS_SOURCE} over {source}",
            strict=False,
            partial=False,
        )
    assert settings is not None
    _validate(settings, source)
    return settings


def _set_override(document: dict[str, Any], key: str, value: str) -> None:
    *parents, last = key.split(".")
    target = document
    for parent in parents:
        child = target.get(parent)
        if not isinstance(child, dict):
            child = target[parent] = {}
        target = child
    if key == "seeds":
        target[last] = [part for part in value.split(",") if part]
    elif key == "labels":
        target[last] = _parse_labels(value)
    else:
        target[last] = value


def _parse_labels(text: str) -> dict[str, str]:
    labels: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        key, separator, value = part.partition("=")
        if not separator:
            raise _settings_error("flags", "labels", f"{part!r} has no '='", "key=value,key=value")
        if key in labels:
            raise _settings_error("flags", f"labels.{key}", "given twice", "each label once")
        labels[key] = value
    return labels


def _convert(document: dict[str, Any], source: str, *, strict: bool, partial: bool) -> Settings | None:
    """Convert a document to settings; with ``partial``, return None if a required key is missing."""
    try:
        return msgspec.convert(document, Settings, strict=strict, dec_hook=_decode_hook)
    except msgspec.ValidationError as error:
        message = str(error)
        if partial and "missing required field" in message:
            return None
        raise _error_from_validation(source, message) from None


def _decode_hook(expected: type, value: Any) -> Any:
    if expected is Credential and isinstance(value, str):
        return Credential(value)
    raise TypeError(f"Expected `str`, got `{type(value).__name__}`")


def _error_from_validation(source: str, message: str) -> SettingsError:
    """Return the error for a validation message of msgspec, whose key and expected type it parses."""
    head, _, path = message.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    field = re.search(r"field `([^`]+)`", head)
    if field:
        full_key = ".".join(part for part in (key, field.group(1)) if part)
        if "unknown" in head:
            return _settings_error(source, full_key, "unknown key", "one of: " + ", ".join(_known_keys(key)))
        return _settings_error(source, full_key, "missing", "a value, this key is required")
    expected = re.search(r"Expected (.*?)(?:, got|$)", head)
    expected_type = expected.group(1) if expected else head
    return _settings_error(source, key, "wrong type", expected_type.replace("`", ""))


def _known_keys(path: str) -> list[str]:
    """Return the keys of the settings struct at a dotted path; none if a mapping is there."""
    struct: Any = Settings
    for part in filter(None, path.split(".")):
        struct = get_type_hints(struct).get(part, struct)
        if get_args(struct):
            return []
    return list(struct.__struct_fields__)


def _validate(settings: Settings, source: str) -> None:
    """Check what types do not express; raises SettingsError."""
    for key in ("daemon_id", "zone"):
        _check_pattern(source, key, getattr(settings, key), IDENTIFIER_PATTERN)
    for key in ("caller_address", "operator_address", "peer_address"):
        parse_address(getattr(settings, key), source, key)
    for key in ("log_address", "machine_list_address", "weight_store_address"):
        value = getattr(settings, key)
        if value or key != "weight_store_address":
            _check_connect_address(value, source, key)
    for index, seed in enumerate(settings.seeds):
        _check_connect_address(seed, source, f"seeds[{index}]")
    for key, value in settings.labels.items():
        _check_pattern(source, f"labels.{key}", key, LABEL_KEY_PATTERN)
        _check_pattern(source, f"labels.{key}", value, LABEL_VALUE_PATTERN)
    for name in settings.credentials.callers:
        _check_pattern(source, f"credentials.callers.{name}", name, IDENTIFIER_PATTERN)
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise _settings_error(source, "log_level", "unknown level", "DEBUG, INFO, WARNING or ERROR")
    _check_numbers(settings.limits, "limits", source, allow_zero=False)
    _check_numbers(settings.stop, "stop", source, allow_zero=True)


def _check_numbers(struct: msgspec.Struct, prefix: str, source: str, *, allow_zero: bool) -> None:
    for name in struct.__struct_fields__:
        value = getattr(struct, name)
        if value < 0 or value != value or (value == 0 and not allow_zero):
            expected = "a number of at least 0" if allow_zero else "a number above 0"
            raise _settings_error(source, f"{prefix}.{name}", f"is {value}", expected)


def _check_pattern(source: str, key: str, value: str, pattern: str) -> None:
    if not re.match(pattern, value):
        raise _settings_error(source, key, f"{value!r} has a wrong form", f"text matching {pattern}")


def _check_connect_address(value: str, source: str, key: str) -> None:
    if parse_address(value, source, key)[1] == 0:
        raise _settings_error(source, key, "port 0 can not be connected to", ADDRESS_FORM)


def parse_address(text: str, source: str = "flags", key: str = "address") -> tuple[str, int]:
    """Return host and port of ``IP:port`` (``[IPv6]:port``); raises SettingsError."""
    host, separator, port = text.rpartition(":")
    host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(host)
        number = int(port) if port.isascii() and port.isdigit() else -1
    except ValueError:
        number = -1
    if not separator or not 0 <= number <= 65_535:
        raise _settings_error(source, key, f"invalid address {text!r}", ADDRESS_FORM)
    return host, number


def _settings_error(source: str, key: str, problem: str, expected: str) -> SettingsError:
    location = f"{source}, key {key}" if key else source
    return SettingsError(
        f"{location}: {problem}, expected {expected}", file=source, key=key, expected=expected
    )
