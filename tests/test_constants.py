"""Each time, size, share and limit of the platform's packages says what it is and where it comes from."""

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


def is_document(node):
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def undocumented(path):
    """Return the constants of a module that have no text below them.

    Several constants of one kind may share the text below the last of them.
    """
    body = ast.parse(path.read_text(encoding="utf-8")).body
    for place, node in enumerate(body):
        names = [target.id for target in getattr(node, "targets", []) if isinstance(target, ast.Name)]
        if not isinstance(node, ast.Assign) or not names or not names[0].endswith(SUFFIXES):
            continue
        following = body[place + 1] if place + 1 < len(body) else None
        if not is_document(following):
            yield f"{path.relative_to(ROOT)}: {names[0]}"


def test_constants_have_a_document_line():
    found = [
        name for package in PACKAGES for path in (ROOT / package).glob("*.py") for name in undocumented(path)
    ]
    assert [name for name in found if not name.endswith(("NEVER_S",))] == []
