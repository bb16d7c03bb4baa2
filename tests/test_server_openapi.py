from pathlib import Path

import msgspec

from passgate.metrics import DaemonMetrics
from passgate.server.openapi import HEADER_DESCRIPTIONS, render
from passgate.server.routes import CALLER_ROUTES, HEALTH_ROUTES, OPERATOR_ROUTES

DOCS = Path(__file__).parent.parent / "docs"


def test_committed_document_is_up_to_date():
    assert (DOCS / "openapi.json").read_bytes() == render(), (
        "run: .venv/bin/python -m passgate.server.openapi > docs/openapi.json"
    )


def test_documented_methods_of_each_route_are_those_of_its_handler():
    paths = msgspec.json.decode(render())["paths"]
    for route in CALLER_ROUTES + OPERATOR_ROUTES + HEALTH_ROUTES:
        described = set(paths[route.path.replace("...}", "}")])
        handled = {
            name for name in ("get", "post", "put", "patch", "delete") if name in _list_handler_members(route)
        }
        assert described == handled, route.path


def _list_handler_members(route):
    return {
        name for kind in route.handler.__mro__[:-2] for name in vars(kind) if kind.__module__ != "tornado.web"
    }


def test_api_page_documents_every_path_and_header():
    page = (DOCS / "API.md").read_text()
    for route in CALLER_ROUTES + OPERATOR_ROUTES + HEALTH_ROUTES:
        assert f"`{route.path}`" in page, route.path
    for header in HEADER_DESCRIPTIONS:
        assert f"`{header}`" in page


def test_operators_page_documents_every_metric():
    page = (DOCS / "operators" / "running-a-daemon.md").read_text()
    for family in DaemonMetrics().registry.collect():
        assert family.name in page, family.name
