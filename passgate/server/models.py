"""``/v1/models/{model}/versions``: versions of weights that trainers publish."""

from __future__ import annotations

import re

import msgspec

from passgate.errors import InvalidRequest, RevisionConflict
from passgate.server.base_handlers import CallerHandler
from passgate.server.config_views import make_object_view
from passgate.server.wire import ChangeAnswer, PublishVersionRequest, VersionList
from passgate.state.configuration import ModelVersionSpec

MODEL_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
CREATED_STATUS = 201
VERSION_LIMIT = 2**62
MODEL_VERSION_KIND = "ModelVersion"


class ModelVersionsHandler(CallerHandler):
    """Publishes and lists the versions of one model."""

    async def get(self, model: str) -> None:
        """List versions, newest first."""
        state = self.context.services.configuration.state
        objects = [item for item in state.objects(MODEL_VERSION_KIND) if item.spec.model == model]
        objects.sort(key=lambda item: item.spec.version, reverse=True)
        views = tuple(make_object_view(item) for item in objects)
        self.answer_json(VersionList(model=model, newest=state.newest_version(model), versions=views))

    async def post(self, model: str) -> None:
        """Publish a version; one that exists with the same URI is left as it is, also its labels."""
        body = self.decode_body(PublishVersionRequest)
        if not MODEL_NAME_PATTERN.match(model):
            raise InvalidRequest(f"model must match {MODEL_NAME_PATTERN.pattern}", field="model")
        if not 1 <= body.version < VERSION_LIMIT:
            raise InvalidRequest("version must be from 1 to 2^62 - 1", field="version")
        spec = ModelVersionSpec(model=model, version=body.version, uri=body.uri)
        name = f"{model}-{body.version}"
        revision = await self._publish(name, body, spec)
        self.answer_json(ChangeAnswer(kind=MODEL_VERSION_KIND, name=name, revision=revision), CREATED_STATUS)

    async def _publish(self, name: str, body: PublishVersionRequest, spec: ModelVersionSpec) -> int:
        """Create the object and return its revision, or that of an existing one with the same specification.

        Raises:
            RevisionConflict: the version exists with another specification.
        """
        service = self.context.services.configuration
        timeout_s = self.context.settings.limits.durability_timeout_s
        try:
            return await service.put(MODEL_VERSION_KIND, name, body.labels, spec, 0, timeout_s)
        except RevisionConflict:
            current = service.state.get(MODEL_VERSION_KIND, name)
            is_same = current is not None and msgspec.json.encode(current.spec) == msgspec.json.encode(spec)
            if is_same:
                return current.revision
            raise
