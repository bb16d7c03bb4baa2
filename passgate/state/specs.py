"""Typed specifications of configuration objects and their validation.

>>> decode_spec("PriorityClass", b'{"interactive": true, "weight": 4}', strict=True).weight
4.0
"""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from msgspec import Meta

from passgate.errors import MalformedBody, SelectorSyntaxError
from passgate.schema import Labels, MachineRole
from passgate.selectors import MAXIMUM_NAME_CHARACTERS, Selector

_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?")

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
AtLeastOne = Annotated[int, Meta(ge=1)]


class RolloutSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How new weights, adapters and roles reach the engines of a pool."""

    adapters: tuple[str, ...] = ()
    """Adapters that each engine loads after its weights, in this order."""
    engine_role: str = ""
    """Role that each engine takes, such as ``prefill``; empty leaves it as it is."""
    by_zone: bool = False
    """One daemon per zone orders the zone's engines, instead of one for all."""
    capacity_floor: Share = 0.75
    """Share of the healthy engines that keep serving during a rollout."""
    zone_capacity_floor: Share = 0.5
    """The same within each zone."""


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A set of replicas that serve one model or one application service."""

    selector: str
    """Selector over the labels of machines."""
    role: MachineRole
    model: str = ""
    """Model served by an engine pool; empty for application services."""
    maximum_in_flight: AtLeastOne = 256
    """Most requests that one daemon keeps running on one replica."""
    maximum_queued: Count = 4096
    """Most requests of this pool that wait in one daemon."""
    default_deadline_s: Positive = 600.0
    """Deadline of requests that name none, seconds after arrival."""
    rollout: RolloutSpec = RolloutSpec()


class ModelVersionSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One published set of weights."""

    model: str
    version: AtLeastOne
    uri: str = ""
    withdrawn: bool = False
    """Known bad: engines are moved off it."""


class PriorityClassSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one class are queued and refused."""

    interactive: bool = False
    """A person waits for the answer."""
    weight: Positive = 1.0
    """Share of tokens relative to the other classes."""
    max_queued: Count = 1024
    """Most waiting requests of the class in one daemon."""
    max_wait_s: Positive = 60.0
    """A longer projected wait is refused."""
    max_queued_per_caller: Count = 1024


Spec = PoolSpec | ModelVersionSpec | PriorityClassSpec
SPEC_TYPES: dict[str, type[Spec]] = {
    "Pool": PoolSpec,
    "ModelVersion": ModelVersionSpec,
    "PriorityClass": PriorityClassSpec,
}
DEFAULT_PRIORITY_CLASSES = {
    "default": PriorityClassSpec(),
    "interactive": PriorityClassSpec(interactive=True, weight=8.0, max_wait_s=5.0),
    "training": PriorityClassSpec(
        weight=1.0, max_queued=16_384, max_wait_s=600.0, max_queued_per_caller=16_384
    ),
}
"""In force until an operator puts an object of the same name."""


def decode_spec(kind: str, spec: bytes, *, strict: bool) -> Spec:
    """Return the typed specification of an object.

    Folds decode leniently, so that a field of a newer version is passed over;
    what an operator sends is decoded strictly.

    Raises:
        MalformedBody: details name ``field``.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        raise MalformedBody(f"unknown object kind {kind!r}", field="kind", expected=", ".join(SPEC_TYPES))
    try:
        decoded = msgspec.json.decode(spec, type=spec_type)
    except msgspec.MsgspecError as error:
        raise MalformedBody(f"{kind}: {error}", field=_field_of(error), kind=kind) from None
    if strict:
        _refuse_unknown_fields(kind, spec_type, spec)
    if isinstance(decoded, PoolSpec):
        _check_pool(decoded)
    return decoded


def check_name(name: str) -> None:
    """Raise MalformedBody unless ``name`` is usable as an object's name."""
    if len(name) > MAXIMUM_NAME_CHARACTERS or not _NAME.fullmatch(name):
        raise MalformedBody("names are letters, digits and inner '-', '_', '.', '/'", field="name")


def check_labels(labels: Labels) -> None:
    """Raise MalformedBody unless selectors can express all keys and values."""
    for key, value in labels.items():
        for part in (key, value):
            if len(part) > MAXIMUM_NAME_CHARACTERS or not _NAME.fullmatch(part):
                raise MalformedBody(f"label {key!r} can not be selected", field=f"labels.{key}")


def _check_pool(spec: PoolSpec) -> None:
    try:
        Selector.parse(spec.selector)
    except SelectorSyntaxError as error:
        raise MalformedBody(str(error), field="spec.selector", position=error.details["position"]) from None
    if spec.role is MachineRole.ENGINE and not spec.model:
        raise MalformedBody("an engine pool names its model", field="spec.model")


def _refuse_unknown_fields(kind: str, spec_type: type[Spec], spec: bytes) -> None:
    given = msgspec.json.decode(spec, type=dict[str, msgspec.Raw])
    for name in given:
        if name not in spec_type.__struct_fields__:
            raise MalformedBody(f"{kind} has no field {name!r}", field=f"spec.{name}", kind=kind)


def _field_of(error: msgspec.MsgspecError) -> str:
    """Return the field that a decoding error names; msgspec writes paths as ``$.name``."""
    text = str(error)
    path = re.search(r"at `\$\.?([^`]*)`", text)
    missing = re.search(r"required field `([^`]+)`", text)
    names = [match.group(1) for match in (path, missing) if match and match.group(1)]
    return ".".join(["spec", *names])
