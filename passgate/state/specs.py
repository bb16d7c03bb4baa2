"""Typed specifications of configuration objects, and the validation of objects.

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
    """How the engines of a pool are moved to new weights, adapters and roles."""

    adapters: tuple[str, ...] = ()
    """Adapters that each engine loads after its weights, in this order."""
    engine_role: str = ""
    """Role that each engine takes, such as ``prefill``; empty leaves it unchanged."""
    by_zone: bool = False
    """Whether one daemon per zone sends orders to the zone's engines, instead of one daemon to all."""
    capacity_floor: Share = 0.75
    """Least share of the healthy engines that keeps serving during a rollout."""
    zone_capacity_floor: Share = 0.5
    """Least share of the healthy engines of each zone that keeps serving."""


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A set of replicas that serve one model or one application service."""

    selector: str
    """Selects machines by their labels."""
    role: MachineRole
    model: str = ""
    """Model served by an engine pool; empty for application services."""
    maximum_in_flight: AtLeastOne = 256
    """Largest number of requests that one daemon runs on one replica at a time."""
    maximum_queued: Count = 4096
    """Largest number of requests of this pool that wait in one daemon."""
    default_deadline_s: Positive = 600.0
    """Deadline of requests that name none, in seconds after their arrival."""
    rollout: RolloutSpec = RolloutSpec()


class ModelVersionSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One published set of weights."""

    model: str
    version: AtLeastOne
    uri: str = ""
    withdrawn: bool = False
    """Whether the version must not be used any more; engines are moved to another version."""


class PriorityClassSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one class are queued and refused."""

    interactive: bool = False
    """Whether a person waits for the response."""
    weight: Positive = 1.0
    """Weight of the class in the fair queue of tokens, relative to other classes."""
    max_queued: Count = 1024
    """Largest number of requests of the class that wait in one daemon."""
    max_wait_s: Positive = 60.0
    """A request is refused when its projected wait, or its time in the queue, is longer."""
    max_queued_per_caller: Count = 1024
    """Largest number of requests of the class, of one caller and one pool, that wait in one daemon."""


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
"""Priority classes by name; a configured object of the same name replaces one of these."""


def decode_spec(kind: str, spec: bytes, *, strict: bool) -> Spec:
    """Return the typed specification of an object from its JSON.

    ``strict`` refuses unknown fields and is for what operators send.  Projections must
    decode records with ``strict=False``, which ignores fields of a newer version.

    Raises:
        MalformedBody: the kind is not known or the specification is not valid; details
            name ``field``.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        raise MalformedBody(f"unknown object kind {kind!r}", field="kind", expected=", ".join(SPEC_TYPES))
    try:
        decoded = msgspec.json.decode(spec, type=spec_type)
    except msgspec.MsgspecError as error:
        raise MalformedBody(f"{kind}: {error}", field=_field_path(error), kind=kind) from None
    if strict:
        _reject_unknown_fields(kind, spec_type, spec)
    if isinstance(decoded, PoolSpec):
        _check_pool(decoded)
    return decoded


def check_name(name: str) -> None:
    """Raise MalformedBody unless ``name`` is usable as an object's name."""
    if len(name) > MAXIMUM_NAME_CHARACTERS or not _NAME.fullmatch(name):
        raise MalformedBody("a name consists of letters, digits and inner '-', '_', '.', '/'", field="name")


def check_labels(labels: Labels) -> None:
    """Raise MalformedBody unless a selector can express every key and value."""
    for key, value in labels.items():
        for text in (key, value):
            if len(text) > MAXIMUM_NAME_CHARACTERS or not _NAME.fullmatch(text):
                raise MalformedBody(
                    f"label {key!r} can not be expressed in a selector", field=f"labels.{key}"
                )


def _check_pool(spec: PoolSpec) -> None:
    try:
        Selector.parse(spec.selector)
    except SelectorSyntaxError as error:
        raise MalformedBody(str(error), field="spec.selector", position=error.details["position"]) from None
    if spec.role is MachineRole.ENGINE and not spec.model:
        raise MalformedBody("a pool with role 'engine' must name its model", field="spec.model")


def _reject_unknown_fields(kind: str, spec_type: type[Spec], spec: bytes) -> None:
    raw_fields = msgspec.json.decode(spec, type=dict[str, msgspec.Raw])
    for name in raw_fields:
        if name not in spec_type.__struct_fields__:
            raise MalformedBody(f"{kind} has no field {name!r}", field=f"spec.{name}", kind=kind)


def _field_path(error: msgspec.MsgspecError) -> str:
    """Return the dotted path of the field that a decoding error names, from ``spec`` on.

    msgspec has no attribute for it and writes the path into the message as ``$.name``.
    """
    text = str(error)
    path = re.search(r"at `\$\.?([^`]*)`", text)
    missing = re.search(r"required field `([^`]+)`", text)
    names = [match.group(1) for match in (path, missing) if match and match.group(1)]
    return ".".join(["spec", *names])
