"""Fold of the configuration stream: pools, model versions and priority classes.

A change names the revision that it replaces.  The first one on the log wins and
the others are rejected by every reader alike, so an accepted change is undone
only by a later one that knew it.
"""

from __future__ import annotations

import msgspec

from passgate.errors import MalformedBody, NoMatchingPool, NotFound, RevisionConflict, UnknownRecord
from passgate.records import ObjectDeleted, ObjectPut, Record
from passgate.schema import Labels, MachineRole
from passgate.selectors import Selector
from passgate.state.fold import Accepted, Decision, Rejected
from passgate.state.specs import (
    DEFAULT_PRIORITY_CLASSES,
    SPEC_TYPES,
    PoolSpec,
    PriorityClassSpec,
    Spec,
    decode_spec,
)


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration object as folded; the specification stays as written.

    Keeping the written JSON lets a snapshot carry fields and kinds of a newer
    version through a daemon that does not know them.
    """

    kind: str
    name: str
    revision: int
    writer: str
    labels: Labels
    spec_json: msgspec.Raw


class ConfigObject(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration object with its typed specification."""

    kind: str
    name: str
    revision: int
    """Offset + 1 of the last accepted record of the object."""
    labels: Labels
    spec: Spec
    writer: str = ""
    """Who wrote that record."""


def transition(
    current: StoredObject | None, offset: int, record: Record
) -> tuple[StoredObject | None, Decision]:
    """Return the object after ``record`` and the decision; pure.

    ``current`` is the object that the record names, or None.
    """
    body = record.body
    assert isinstance(body, ObjectPut | ObjectDeleted)
    revision = current.revision if current else 0
    if body.expected_revision is not None and body.expected_revision != revision:
        return current, Rejected(offset, _conflict(current, body))
    if isinstance(body, ObjectDeleted):
        return _delete(current, offset, body)
    stored = StoredObject(
        kind=body.object_kind,
        name=body.name,
        revision=offset + 1,
        writer=record.writer,
        labels=body.labels,
        spec_json=body.spec,
    )
    return stored, Accepted(offset, stored.revision)


def _delete(
    current: StoredObject | None, offset: int, body: ObjectDeleted
) -> tuple[StoredObject | None, Decision]:
    if current is None:
        return None, Rejected(offset, NotFound(f"{body.object_kind} {body.name} does not exist"))
    return None, Accepted(offset, offset + 1)


def _conflict(current: StoredObject | None, body: ObjectPut | ObjectDeleted) -> RevisionConflict:
    return RevisionConflict(
        f"{body.object_kind} {body.name} is not at revision {body.expected_revision}",
        revision=current.revision if current else 0,
        expected=body.expected_revision,
        winner=current.writer if current else "",
    )


class ConfigurationState:
    """All configuration objects, read by the whole daemon."""

    def __init__(self) -> None:
        self.revision = 0
        """Offset + 1 of the last accepted record."""
        self._stored: dict[tuple[str, str], StoredObject] = {}
        self._objects: dict[str, dict[str, ConfigObject]] = {kind: {} for kind in SPEC_TYPES}
        self._usable_versions: dict[str, dict[str, int]] = {}
        """By model: names of objects to versions that are not withdrawn."""
        self._newest_versions: dict[str, int] = {}

    # --- queries ---------------------------------------------------------------------

    def objects(self, kind: str, selector: Selector | None = None) -> list[ConfigObject]:
        """Return the objects of one kind that match, by name."""
        found = self._objects.get(kind, {})
        return [
            found[name] for name in sorted(found) if selector is None or selector.matches(found[name].labels)
        ]

    def get(self, kind: str, name: str) -> ConfigObject | None:
        """Return one object, or None."""
        return self._objects.get(kind, {}).get(name)

    def select_pool(self, selector: Selector, role: MachineRole) -> ConfigObject:
        """Return the first pool by name whose labels match; raises NoMatchingPool."""
        for pool in self.objects("Pool", selector):
            assert isinstance(pool.spec, PoolSpec)
            if pool.spec.role is role:
                return pool
        raise NoMatchingPool(f"no {role.value} pool matches", selector=str(selector))

    def newest_version(self, model: str) -> int:
        """Return the newest version that is not withdrawn, or 0."""
        return self._newest_versions.get(model, 0)

    def priority_class(self, name: str) -> PriorityClassSpec:
        """Return a class as configured or its default; raises NotFound."""
        found = self.get("PriorityClass", name)
        if found is not None:
            assert isinstance(found.spec, PriorityClassSpec)
            return found.spec
        if name in DEFAULT_PRIORITY_CLASSES:
            return DEFAULT_PRIORITY_CLASSES[name]
        raise NotFound(f"no priority class {name!r}", name=name)

    def __len__(self) -> int:
        return len(self._stored)

    # --- fold ------------------------------------------------------------------------

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the configuration stream."""
        body = record.body
        if not isinstance(body, ObjectPut | ObjectDeleted):
            return Rejected(offset, UnknownRecord("not a configuration record"))
        if isinstance(body, ObjectPut) and body.object_kind in SPEC_TYPES:
            try:
                decode_spec(body.object_kind, body.spec, strict=False)
            except MalformedBody as error:
                return Rejected(offset, error)
        key = (body.object_kind, body.name)
        stored, decision = transition(self._stored.get(key), offset, record)
        if isinstance(decision, Accepted):
            self._replace(key, stored)
            self.revision = offset + 1
        return decision

    def snapshot(self) -> bytes:
        """Return all objects as JSON."""
        return msgspec.json.encode(_Snapshot(self.revision, list(self._stored.values())))

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot; raises ``msgspec.MsgspecError``."""
        snapshot = msgspec.json.decode(state, type=_Snapshot)
        self._stored = {}
        self._objects = {kind: {} for kind in SPEC_TYPES}
        self._usable_versions = {}
        self._newest_versions = {}
        for stored in snapshot.objects:
            self._replace((stored.kind, stored.name), stored)
        self.revision = snapshot.revision

    def _replace(self, key: tuple[str, str], stored: StoredObject | None) -> None:
        kind, name = key
        previous = self.get(kind, name)
        if stored is None:
            self._stored.pop(key, None)
            self._objects.get(kind, {}).pop(name, None)
        else:
            self._stored[key] = stored
            if kind in self._objects:
                self._objects[kind][name] = _typed(stored)
        if kind == "ModelVersion":
            self._replace_version(previous, self.get(kind, name))

    def _replace_version(self, previous: ConfigObject | None, current: ConfigObject | None) -> None:
        """Keep the newest version of each model without looking at all versions at each change."""
        if previous is not None:
            self._drop_version(previous.spec.model, previous.name)
        if current is None or current.spec.withdrawn:
            return
        spec = current.spec
        self._usable_versions.setdefault(spec.model, {})[current.name] = spec.version
        self._newest_versions[spec.model] = max(spec.version, self.newest_version(spec.model))

    def _drop_version(self, model: str, name: str) -> None:
        usable = self._usable_versions.get(model, {})
        dropped = usable.pop(name, None)
        if dropped is not None and dropped == self.newest_version(model):
            self._newest_versions[model] = max(usable.values(), default=0)


class _Snapshot(msgspec.Struct):
    revision: int
    objects: list[StoredObject]


def _typed(stored: StoredObject) -> ConfigObject:
    return ConfigObject(
        kind=stored.kind,
        name=stored.name,
        revision=stored.revision,
        labels=stored.labels,
        spec=decode_spec(stored.kind, stored.spec_json, strict=False),
        writer=stored.writer,
    )
