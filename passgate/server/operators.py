"""Handlers of the operators' port: configuration objects, and the revision on each daemon."""

from __future__ import annotations

import msgspec

from passgate.errors import InvalidRequest, NotFound, PassgateError
from passgate.selectors import Selector
from passgate.server.base_handlers import OperatorHandler
from passgate.server.config_views import make_object_view
from passgate.server.wire import (
    ApplyAnswer,
    ApplyObject,
    ApplyRequest,
    ApplyResult,
    ChangeAnswer,
    ConfigList,
    PutObjectRequest,
    WatchAnswer,
)
from passgate.state.configuration import ConfigObject, ConfigurationState

OBJECT_KINDS = ("Pool", "ModelVersion", "PriorityClass")


class ConfigHandlerBase(OperatorHandler):
    """Base of the configuration handlers."""

    @property
    def state(self) -> ConfigurationState:
        """Return the configuration that is active on this daemon."""
        return self.context.services.configuration.state

    def answer_with_objects(self, kinds: tuple[str, ...]) -> None:
        """Answer with the objects of these kinds that match the query's label selector, or with all."""
        text = self.get_query_argument("selector", "")
        selector = Selector.parse(text) if text else None
        objects: list[ConfigObject] = []
        for kind in kinds:
            objects.extend(self.state.objects(kind, selector))
        views = tuple(make_object_view(item) for item in objects)
        self.answer_json(ConfigList(revision=self.state.revision, objects=views))

    async def put_object(self, item: ApplyObject) -> int:
        """Create or replace one object; return its revision once it is on the log.

        Raises:
            PassgateError: the kind is unknown, the object is not valid, its revision is not the expected one,
                or the log did not confirm the change in time.
        """
        check_kind(item.kind)
        timeout_s = self.context.settings.limits.durability_timeout_s
        service = self.context.services.configuration
        spec = bytes(item.spec)
        return await service.put(item.kind, item.name, item.labels, spec, item.expected_revision, timeout_s)


def check_kind(kind: str) -> None:
    """Check that a kind exists; raises NotFound that lists the known kinds."""
    if kind not in OBJECT_KINDS:
        raise NotFound(f"unknown configuration kind {kind!r}", kind=kind, known=", ".join(OBJECT_KINDS))


class ConfigCollectionHandler(ConfigHandlerBase):
    """``/v1/config``: objects of all kinds."""

    async def get(self) -> None:
        """List objects of all kinds."""
        self.answer_with_objects(OBJECT_KINDS)

    async def post(self) -> None:
        """Create or replace several objects in order, up to the first error; earlier ones stay."""
        body = self.decode_body(ApplyRequest)
        results: list[ApplyResult] = []
        status = 200
        for item in body.objects:
            try:
                revision = await self.put_object(item)
            except PassgateError as error:
                self.count_error(error)
                results.append(ApplyResult(kind=item.kind, name=item.name, error=error.body()))
                status = error.http_status
                break
            results.append(ApplyResult(kind=item.kind, name=item.name, revision=revision))
        self.answer_json(ApplyAnswer(results=tuple(results)), status)


class ConfigKindHandler(ConfigHandlerBase):
    """``/v1/config/{kind}``: all objects of a kind."""

    async def get(self, kind: str) -> None:
        """List the objects of one kind."""
        check_kind(kind)
        self.answer_with_objects((kind,))


class ConfigObjectHandler(ConfigHandlerBase):
    """``/v1/config/{kind}/{name}``: one object."""

    async def get(self, kind: str, name: str) -> None:
        """Return one object."""
        check_kind(kind)
        item = self.state.get(kind, name)
        if item is None:
            raise NotFound(f"there is no {kind} with the name {name!r}", kind=kind, name=name)
        self.answer_json(make_object_view(item))

    async def put(self, kind: str, name: str) -> None:
        """Create or replace one object; answers once the change is on the log."""
        body = self.decode_body(PutObjectRequest)
        item = ApplyObject(
            kind=kind,
            name=name,
            labels=body.labels,
            spec=body.spec,
            expected_revision=body.expected_revision,
        )
        revision = await self.put_object(item)
        self.answer_json(ChangeAnswer(kind=kind, name=name, revision=revision))

    async def delete(self, kind: str, name: str) -> None:
        """Delete one object; answers once the change is on the log."""
        check_kind(kind)
        expected = self.get_query_argument("expected_revision", "")
        if expected and not (expected.isascii() and expected.isdigit() and len(expected) < 20):
            raise InvalidRequest(
                "expected_revision must be a non-negative integer", field="expected_revision"
            )
        timeout_s = self.context.settings.limits.durability_timeout_s
        service = self.context.services.configuration
        revision = await service.delete(kind, name, int(expected) if expected else None, timeout_s)
        self.answer_json(ChangeAnswer(kind=kind, name=name, revision=revision))


class WatchHandler(OperatorHandler):
    """``/v1/watch``: the configuration revision of each daemon."""

    async def get(self) -> None:
        """List the daemons with their revisions: unreachable ones first, then those furthest behind."""
        views = await self.context.services.cluster_status.collect()
        newest = max(view.revision for view in views)
        daemons = [
            msgspec.structs.replace(view, behind=newest - view.revision if view.reached else None)
            for view in views
        ]
        daemons.sort(key=lambda view: (view.reached, -(view.behind or 0), view.daemon_id))
        self.answer_json(WatchAnswer(revision=newest, daemons=tuple(daemons)))
