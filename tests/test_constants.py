"""Checks that module constants that are times, sizes, shares or limits have a docstring below them."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "passgate"
PACKAGES = (
    "daemon",
    "duties",
    "eligibility",
    "gateway",
    "jobs",
    "peers",
    "platform",
    "quarantine",
    "sharedlog",
    "versions",
)
SUFFIXES = ("_S", "_MS", "_BYTES", "_SHARE", "_LIMIT")


def is_docstring(node):
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def undocumented_constants(path):
    """Yield the constants of a module that have no docstring directly below them."""
    body = ast.parse(path.read_text(encoding="utf-8")).body
    for index, node in enumerate(body):
        names = [target.id for target in getattr(node, "targets", []) if isinstance(target, ast.Name)]
        if not isinstance(node, ast.Assign) or not names or not names[0].endswith(SUFFIXES):
            continue
        following = body[index + 1] if index + 1 < len(body) else None
        if not is_docstring(following):
            yield f"{path.relative_to(ROOT)}: {names[0]}"


def test_constants_with_a_unit_have_a_docstring():
    missing = [
        name
        for package in PACKAGES
        for path in (ROOT / package).glob("*.py")
        for name in undocumented_constants(path)
    ]
    assert [name for name in missing if not name.endswith(("NEVER_S",))] == []
