"""Route tables of the callers' and the operators' port; the OpenAPI document is generated from them."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from passgate.server import apps, completions, health, lots, models, operators, wire
from passgate.server.base_handlers import ApiHandler
from passgate.server.context import ServerContext
from passgate.state.lots import LotInfo, SamplesPage


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP method of a route and its documentation."""

    method: str
    summary: str
    request: Any = None
    """Type of the JSON body; None when there is no JSON body."""
    answer: Any = None
    """Type of the JSON answer; None when the answer is not JSON of a known type."""
    status: int = 200
    """Status of a successful answer."""
    query: tuple[str, ...] = ()
    """Names of the query parameters."""
    headers: tuple[str, ...] = ()
    """Names of the request headers."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One path with its handler; in the path ``{name}`` matches one segment, ``{name...}`` the rest."""

    name: str
    path: str
    handler: type[ApiHandler]
    operations: tuple[Operation, ...]

    def to_regex(self) -> str:
        """Return the path as a regular expression for tornado.

        >>> from passgate.server.health import HealthHandler
        >>> Route(name="x", path="/a/{b}/{c...}", handler=HealthHandler, operations=()).to_regex()
        '/a/([^/]+)/(.*)'
        """
        parts = []
        for segment in self.path.split("/"):
            if segment.endswith("...}"):
                parts.append("(.*)")
            elif segment.startswith("{"):
                parts.append("([^/]+)")
            else:
                parts.append(segment.replace(".", r"\."))
        return "/".join(parts)


CALL_HEADERS = (
    "Idempotency-Key",
    "X-Passgate-Not-Repeatable",
    "X-Passgate-Deadline-Ms",
    "X-Passgate-Priority",
    "X-Passgate-Selector",
    "X-Passgate-Caller",
    "X-Request-Id",
)
COMMON_HEADERS = ("X-Passgate-Caller", "X-Request-Id")
OPEN_LOT_HEADERS = ("Idempotency-Key", "X-Passgate-Priority", "X-Passgate-Selector", *COMMON_HEADERS)

HEALTH_ROUTES = (
    Route(
        name="healthz",
        path="/healthz",
        handler=health.HealthHandler,
        operations=(
            Operation(method="GET", summary="200 while the process answers.", answer=wire.HealthAnswer),
        ),
    ),
    Route(
        name="readyz",
        path="/readyz",
        handler=health.ReadyHandler,
        operations=(Operation(method="GET", summary="200 when ready, else 503.", answer=wire.HealthAnswer),),
    ),
)

CALLER_ROUTES = (
    Route(
        name="completions",
        path="/v1/completions",
        handler=completions.CompletionsHandler,
        operations=(
            Operation(
                method="POST",
                summary="Complete a prompt, as one answer or as server-sent events.",
                request=wire.CompletionRequest,
                answer=wire.CompletionAnswer,
                headers=CALL_HEADERS,
            ),
        ),
    ),
    Route(
        name="chat_completions",
        path="/v1/chat/completions",
        handler=completions.ChatCompletionsHandler,
        operations=(
            Operation(
                method="POST",
                summary="Answer a conversation, as one answer or as server-sent events.",
                request=wire.ChatCompletionRequest,
                answer=wire.ChatCompletionAnswer,
                headers=CALL_HEADERS,
            ),
        ),
    ),
    Route(
        name="apps",
        path="/v1/apps/{pool}/{path...}",
        handler=apps.AppHandler,
        operations=tuple(
            Operation(
                method=method,
                summary="Forward a call to an application service and return its own answer.",
                headers=CALL_HEADERS,
            )
            for method in ("GET", "POST", "PUT", "PATCH", "DELETE")
        ),
    ),
    Route(
        name="lots",
        path="/v1/lots",
        handler=lots.LotsHandler,
        operations=(
            Operation(
                method="POST",
                summary="Open a lot of prompts.",
                request=wire.OpenLotRequest,
                answer=LotInfo,
                status=201,
                headers=OPEN_LOT_HEADERS,
            ),
        ),
    ),
    Route(
        name="lot",
        path="/v1/lots/{lot_id}",
        handler=lots.LotHandler,
        operations=(
            Operation(
                method="GET", summary="Show the state of a lot.", answer=LotInfo, headers=COMMON_HEADERS
            ),
            Operation(method="DELETE", summary="Cancel a lot.", answer=wire.Done, headers=COMMON_HEADERS),
        ),
    ),
    Route(
        name="lot_samples",
        path="/v1/lots/{lot_id}/samples",
        handler=lots.LotSamplesHandler,
        operations=(
            Operation(
                method="GET",
                summary="Read finished samples from a cursor on.",
                answer=SamplesPage,
                query=("cursor", "limit", "wait_s", "trainer_version"),
                headers=COMMON_HEADERS,
            ),
        ),
    ),
    Route(
        name="lot_acknowledge",
        path="/v1/lots/{lot_id}/acknowledge",
        handler=lots.LotAcknowledgeHandler,
        operations=(
            Operation(
                method="POST",
                summary="Acknowledge samples.",
                request=wire.SampleIds,
                answer=wire.Done,
                headers=COMMON_HEADERS,
            ),
        ),
    ),
    Route(
        name="lot_replace",
        path="/v1/lots/{lot_id}/replace",
        handler=lots.LotReplaceHandler,
        operations=(
            Operation(
                method="POST",
                summary="Have withdrawn samples produced again.",
                request=wire.ReplaceSamplesRequest,
                answer=wire.SampleIds,
                headers=COMMON_HEADERS,
            ),
        ),
    ),
    Route(
        name="model_versions",
        path="/v1/models/{model}/versions",
        handler=models.ModelVersionsHandler,
        operations=(
            Operation(
                method="GET",
                summary="List the versions of a model.",
                answer=wire.VersionList,
                headers=COMMON_HEADERS,
            ),
            Operation(
                method="POST",
                summary="Publish a version of a model.",
                request=wire.PublishVersionRequest,
                answer=wire.ChangeAnswer,
                status=201,
                headers=COMMON_HEADERS,
            ),
        ),
    ),
)

OPERATOR_ROUTES = (
    Route(
        name="config",
        path="/v1/config",
        handler=operators.ConfigCollectionHandler,
        operations=(
            Operation(
                method="GET",
                summary="List objects of all kinds.",
                answer=wire.ConfigList,
                query=("selector",),
            ),
            Operation(
                method="POST",
                summary="Create or replace several objects, in order, up to the first error.",
                request=wire.ApplyRequest,
                answer=wire.ApplyAnswer,
            ),
        ),
    ),
    Route(
        name="config_kind",
        path="/v1/config/{kind}",
        handler=operators.ConfigKindHandler,
        operations=(
            Operation(
                method="GET",
                summary="List the objects of one kind.",
                answer=wire.ConfigList,
                query=("selector",),
            ),
        ),
    ),
    Route(
        name="config_object",
        path="/v1/config/{kind}/{name}",
        handler=operators.ConfigObjectHandler,
        operations=(
            Operation(method="GET", summary="Show one object.", answer=wire.ConfigObjectView),
            Operation(
                method="PUT",
                summary="Create or replace one object.",
                request=wire.PutObjectRequest,
                answer=wire.ChangeAnswer,
            ),
            Operation(
                method="DELETE",
                summary="Delete one object.",
                answer=wire.ChangeAnswer,
                query=("expected_revision",),
            ),
        ),
    ),
    Route(
        name="watch",
        path="/v1/watch",
        handler=operators.WatchHandler,
        operations=(
            Operation(
                method="GET",
                summary="List the configuration revision of each daemon.",
                answer=wire.WatchAnswer,
            ),
        ),
    ),
    Route(
        name="metrics",
        path="/metrics",
        handler=health.MetricsHandler,
        operations=(Operation(method="GET", summary="Metrics in the text format of Prometheus."),),
    ),
)


def make_application(routes: tuple[Route, ...], context: ServerContext) -> Application:
    """Return the tornado application of one port: its routes and the health routes."""
    handlers = [
        (route.to_regex(), route.handler, {"context": context, "route_name": route.name})
        for route in routes + HEALTH_ROUTES
    ]
    return Application(
        handlers,
        default_handler_class=health.UnknownPathHandler,
        default_handler_args={"context": context, "route_name": "unknown"},
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Write no access log, as requests are counted in the metrics."""
