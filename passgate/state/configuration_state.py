"""Projection of the configuration stream: pools, model versions and priority classes.

Optimistic concurrency: a change may name the revision of the object that it replaces.
Of several changes to one revision the first on the log is accepted and every reader
rejects the others.  Only a change that names no revision can overwrite one that its
operator has not seen.
"""

from __future__ import annotations

import msgspec

from passgate.errors import MalformedBody, NoMatchingPool, NotFound, RevisionConflict, UnknownRecord
from passgate.records import ObjectDeleted, ObjectPut, Record
from passgate.schema import Labels, MachineRole
from passgate.selectors import Selector
from passgate.state.projection import Accepted, Decision, Rejected
from passgate.state.specs import (
    DEFAULT_PRIORITY_CLASSES,
    SPEC_TYPES,
    PoolSpec,
    PriorityClassSpec,
    Spec,
    decode_spec,
)


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration object with the JSON of its specification as it was written.

    Snapshots contain this form, so they keep fields and kinds of a newer version
    that this one does not know.
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
    """Writer of that record."""


def transition(
    current: StoredObject | None, offset: int, record: Record
) -> tuple[StoredObject | None, Decision]:
    """Return the object after ``record``, None when it does not exist, and the decision on the record.

    Pure.  ``record`` holds an ObjectPut or an ObjectDeleted; ``current`` is the object
    that it names before the record, None when it does not exist.
    """
    body = record.body
    assert isinstance(body, ObjectPut | ObjectDeleted)
    revision = current.revision if current else 0
    if body.expected_revision is not None and body.expected_revision != revision:
        return current, Rejected(offset, _conflict_error(current, body))
    if isinstance(body, ObjectDeleted):
        return _decide_deletion(current, offset, body)
    stored = StoredObject(
        kind=body.object_kind,
        name=body.name,
        revision=offset + 1,
        writer=record.writer,
        labels=body.labels,
        spec_json=body.spec,
    )
    return stored, Accepted(offset, stored.revision)


def _decide_deletion(
    current: StoredObject | None, offset: int, body: ObjectDeleted
) -> tuple[StoredObject | None, Decision]:
    if current is None:
        return None, Rejected(offset, NotFound(f"{body.object_kind} {body.name} does not exist"))
    return None, Accepted(offset, offset + 1)


def _conflict_error(current: StoredObject | None, body: ObjectPut | ObjectDeleted) -> RevisionConflict:
    return RevisionConflict(
        f"{body.object_kind} {body.name} is not at revision {body.expected_revision}",
        revision=current.revision if current else 0,
        expected=body.expected_revision,
        winner=current.writer if current else "",
    )


class ConfigurationState:
    """All configuration objects: queries for the daemon, and the projection for a log follower."""

    def __init__(self) -> None:
        self.revision = 0
        """Offset + 1 of the last accepted record; 0 before the first."""
        self._stored_by_key: dict[tuple[str, str], StoredObject] = {}
        """Stored objects by kind and name, also of kinds that this version does not know."""
        self._objects_by_kind: dict[str, dict[str, ConfigObject]] = {kind: {} for kind in SPEC_TYPES}
        self._usable_versions_by_model: dict[str, dict[str, int]] = {}
        """Per model, the versions that are not withdrawn, by the names of their ModelVersion objects."""
        self._newest_version_by_model: dict[str, int] = {}
        """Highest usable version of each model; 0 when all are withdrawn or deleted."""

    # --- queries ---------------------------------------------------------------------

    def objects(self, kind: str, selector: Selector | None = None) -> list[ConfigObject]:
        """Return the objects of one kind whose labels match, in the order of their names."""
        by_name = self._objects_by_kind.get(kind, {})
        return [
            by_name[name]
            for name in sorted(by_name)
            if selector is None or selector.matches(by_name[name].labels)
        ]

    def get(self, kind: str, name: str) -> ConfigObject | None:
        """Return one object; None when it does not exist or its kind is not known."""
        return self._objects_by_kind.get(kind, {}).get(name)

    def select_pool(self, selector: Selector, role: MachineRole) -> ConfigObject:
        """Return the first pool by name with this role and matching labels.

        Raises:
            NoMatchingPool: there is none; details name ``selector``.
        """
        for pool in self.objects("Pool", selector):
            assert isinstance(pool.spec, PoolSpec)
            if pool.spec.role is role:
                return pool
        raise NoMatchingPool(f"no {role.value} pool matches", selector=str(selector))

    def newest_version(self, model: str) -> int:
        """Return the highest version of the model that is not withdrawn; 0 when there is none."""
        return self._newest_version_by_model.get(model, 0)

    def priority_class(self, name: str) -> PriorityClassSpec:
        """Return a priority class as configured, or the built-in one of that name.

        Raises:
            NotFound: there is neither.
        """
        configured = self.get("PriorityClass", name)
        if configured is not None:
            assert isinstance(configured.spec, PriorityClassSpec)
            return configured.spec
        if name in DEFAULT_PRIORITY_CLASSES:
            return DEFAULT_PRIORITY_CLASSES[name]
        raise NotFound(f"no priority class {name!r}", name=name)

    def __len__(self) -> int:
        return len(self._stored_by_key)

    # --- projection ------------------------------------------------------------------

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the configuration stream; reject it when its specification is not valid."""
        body = record.body
        if not isinstance(body, ObjectPut | ObjectDeleted):
            return Rejected(offset, UnknownRecord("the record is not a configuration record"))
        if isinstance(body, ObjectPut) and body.object_kind in SPEC_TYPES:
            try:
                decode_spec(body.object_kind, body.spec, strict=False)
            except MalformedBody as error:
                return Rejected(offset, error)
        key = (body.object_kind, body.name)
        stored, decision = transition(self._stored_by_key.get(key), offset, record)
        if isinstance(decision, Accepted):
            self._store(key, stored)
            self.revision = offset + 1
        return decision

    def snapshot(self) -> bytes:
        """Return all objects and the revision as JSON."""
        return msgspec.json.encode(_Snapshot(self.revision, list(self._stored_by_key.values())))

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot.

        Raises:
            msgspec.MsgspecError: the snapshot is not readable; the state is unchanged.
            MalformedBody: an object's specification is not valid; the state is incomplete.
        """
        snapshot = msgspec.json.decode(state, type=_Snapshot)
        self._stored_by_key = {}
        self._objects_by_kind = {kind: {} for kind in SPEC_TYPES}
        self._usable_versions_by_model = {}
        self._newest_version_by_model = {}
        for stored in snapshot.objects:
            self._store((stored.kind, stored.name), stored)
        self.revision = snapshot.revision

    def _store(self, key: tuple[str, str], stored: StoredObject | None) -> None:
        """Replace an object, or remove it when ``stored`` is None."""
        kind, name = key
        previous = self.get(kind, name)
        if stored is None:
            self._stored_by_key.pop(key, None)
            self._objects_by_kind.get(kind, {}).pop(name, None)
        else:
            self._stored_by_key[key] = stored
            if kind in self._objects_by_kind:
                self._objects_by_kind[kind][name] = _to_config_object(stored)
        if kind == "ModelVersion":
            self._update_versions(previous, self.get(kind, name))

    def _update_versions(self, previous: ConfigObject | None, current: ConfigObject | None) -> None:
        """Update the newest version of a model after a change of one ModelVersion object.

        Only the removal of the newest version compares all versions of the model.
        """
        if previous is not None:
            self._remove_version(previous.spec.model, previous.name)
        if current is None or current.spec.withdrawn:
            return
        spec = current.spec
        self._usable_versions_by_model.setdefault(spec.model, {})[current.name] = spec.version
        self._newest_version_by_model[spec.model] = max(spec.version, self.newest_version(spec.model))

    def _remove_version(self, model: str, name: str) -> None:
        usable_versions = self._usable_versions_by_model.get(model, {})
        removed_version = usable_versions.pop(name, None)
        if removed_version is not None and removed_version == self.newest_version(model):
            self._newest_version_by_model[model] = max(usable_versions.values(), default=0)


class _Snapshot(msgspec.Struct):
    revision: int
    objects: list[StoredObject]


def _to_config_object(stored: StoredObject) -> ConfigObject:
    return ConfigObject(
        kind=stored.kind,
        name=stored.name,
        revision=stored.revision,
        labels=stored.labels,
        spec=decode_spec(stored.kind, stored.spec_json, strict=False),
        writer=stored.writer,
    )
