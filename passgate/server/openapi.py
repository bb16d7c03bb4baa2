"""Generates the OpenAPI document of both ports from the route tables and the types of the bodies.

Regenerate the committed document after a change::

    .venv/bin/python -m passgate.server.openapi > docs/openapi.json
"""

from __future__ import annotations

import inspect
import re
import sys
from typing import Any

import msgspec

from passgate import __version__
from passgate.errors import PassgateError
from passgate.server import wire
from passgate.server.routes import CALLER_ROUTES, HEALTH_ROUTES, OPERATOR_ROUTES, Operation, Route

REFERENCE_TEMPLATE = "#/components/schemas/{name}"
JSON_CONTENT_TYPE = "application/json"
EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
STREAMED_ROUTES = frozenset(("completions", "chat_completions"))
HEADER_DESCRIPTIONS = {
    "Idempotency-Key": "Key of one logical request. The request runs at most once for a caller and key, "
    "on whichever daemon; a repetition gets the stored answer. When a lot is opened: determines its name.",
    "X-Passgate-Not-Repeatable": "true: the request runs at most once. Without Idempotency-Key the "
    "caller's X-Request-Id is the key.",
    "X-Passgate-Deadline-Ms": "Time in milliseconds within which the caller needs the answer.",
    "X-Passgate-Priority": "Name of a priority class.",
    "X-Passgate-Selector": "Label selector over pools, for example: tier=gold,zone in (a,b),!canary",
    "X-Passgate-Caller": "Name of the caller, for fairness and ownership of lots; ignored when credentials "
    "identify the caller.",
    "X-Request-Id": "Identifier for logs, echoed in the answer.",
}


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """An OpenAPI 3.1 document."""

    openapi: str = "3.1.0"
    info: dict[str, str]
    paths: dict[str, Any]
    components: dict[str, Any]


def make_document() -> Document:
    """Return the document for the callers' and the operators' port."""
    ports = (
        ("caller", CALLER_ROUTES + HEALTH_ROUTES),
        ("operator", OPERATOR_ROUTES),
    )
    references, components = _make_schemas([route for _, routes in ports for route in routes])
    paths: dict[str, Any] = {}
    for port, routes in ports:
        for route in routes:
            paths[route.path.replace("...}", "}")] = _describe_path(port, route, references)
    components["ErrorCodes"] = {"description": "Values of error.code.", "enum": sorted(_list_error_codes())}
    return Document(
        info={
            "title": "passgate",
            "version": __version__,
            "description": "Paths tagged caller are on the callers' port, those tagged operator on the "
            "operators' port; healthz and readyz are on both.",
        },
        paths=paths,
        components={
            "schemas": components,
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
    )


def _make_schemas(routes: list[Route]) -> tuple[dict[Any, Any], dict[str, Any]]:
    """Return the schema reference of each body type, and the schemas by component name."""
    body_types: list[Any] = [wire.ErrorAnswer]
    for route in routes:
        for operation in route.operations:
            body_types.extend(kind for kind in (operation.request, operation.answer) if kind is not None)
    unique_types = list(dict.fromkeys(body_types))
    schemas, components = msgspec.json.schema_components(unique_types, ref_template=REFERENCE_TEMPLATE)
    return dict(zip(unique_types, schemas, strict=True)), dict(components)


def _list_error_codes() -> set[str]:
    """Return the codes of all error classes that ``passgate.errors`` exports."""
    codes: set[str] = set()
    pending = [PassgateError]
    while pending:
        error_class = pending.pop()
        codes.add(error_class.code)
        pending.extend(error_class.__subclasses__())
    return {code for code in codes if _is_code_of_errors_package(code)}


def _is_code_of_errors_package(code: str) -> bool:
    from passgate import errors

    members = inspect.getmembers(errors, inspect.isclass)
    return any(issubclass(kind, PassgateError) and kind.code == code for _, kind in members)


def _describe_path(port: str, route: Route, references: dict[Any, Any]) -> dict[str, Any]:
    return {
        operation.method.lower(): _describe_operation(port, route, operation, references)
        for operation in route.operations
    }


def _describe_operation(
    port: str, route: Route, operation: Operation, references: dict[Any, Any]
) -> dict[str, Any]:
    described: dict[str, Any] = {
        "operationId": f"{operation.method.lower()}_{route.name}",
        "summary": operation.summary,
        "tags": [port],
        "security": [{"bearer": []}, {}],
        "parameters": _describe_parameters(route, operation),
        "responses": {
            str(operation.status): _describe_answer(route, operation, references),
            "default": {
                "description": "Typed error; Retry-After is set when a later attempt may succeed.",
                "content": {JSON_CONTENT_TYPE: {"schema": references[wire.ErrorAnswer]}},
            },
        },
    }
    if operation.request is not None:
        content = {JSON_CONTENT_TYPE: {"schema": references[operation.request]}}
        described["requestBody"] = {"required": True, "content": content}
    return described


def _describe_answer(route: Route, operation: Operation, references: dict[Any, Any]) -> dict[str, Any]:
    if operation.answer is None:
        return {"description": "Body without a fixed schema.", "content": {"*/*": {}}}
    content: dict[str, Any] = {JSON_CONTENT_TYPE: {"schema": references[operation.answer]}}
    if route.name in STREAMED_ROUTES:
        content[EVENT_STREAM_CONTENT_TYPE] = {"schema": references[operation.answer]}
    return {"description": operation.summary, "content": content}


def _describe_parameters(route: Route, operation: Operation) -> list[dict[str, Any]]:
    names = re.findall(r"{([a-z_]+)(?:\.\.\.)?}", route.path)
    parameters: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}} for name in names
    ]
    parameters.extend({"name": name, "in": "query", "schema": {"type": "string"}} for name in operation.query)
    parameters.extend(
        {"name": name, "in": "header", "description": HEADER_DESCRIPTIONS[name], "schema": {"type": "string"}}
        for name in operation.headers
    )
    return parameters


def render() -> bytes:
    """Return the document as indented JSON that ends with a newline."""
    return msgspec.json.format(msgspec.json.encode(make_document(), order="sorted"), indent=2) + b"\n"


if __name__ == "__main__":
    sys.stdout.buffer.write(render())
