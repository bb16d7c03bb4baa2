"""Generates the operators' page of all settings from the typed settings and their docstrings.

Regenerate it after a change::

    .venv/bin/python -m passgate.settings_page > docs/operators/settings.md
"""

from __future__ import annotations

import ast
import inspect
import textwrap
from typing import get_type_hints

import msgspec

from passgate import settings
from passgate.settings import Credential, Settings

INTRODUCTION = """\
# Settings

A daemon reads one YAML file (`passgate serve --settings FILE`) and takes its
addresses and zone from nothing else. Every key may also be given as a flag,
which overrides the file: `--zone caruaru`, `--limits.max_body_bytes 1024`,
`--seeds 127.0.0.1:8200,127.0.0.1:8210`, `--labels rack=r1,tier=gold`.

After a mistake (an unknown key, a key or label given twice, a wrong type, an
invalid address) the daemon does not start: it prints one line with the file, the
key and the expected form to standard error, and exits with code 2. Addresses are
IP addresses with a port.

Give credentials in the file, not as flags: other users of a machine can read
flags. They are never logged. Example files are in `settings/`.

This page is generated from `passgate/settings.py`; a test compares the two.
"""


class SettingRow(msgspec.Struct, frozen=True, kw_only=True):
    """One setting in the page's table."""

    key: str
    type_name: str
    default: str
    description: str


def field_docstrings(struct: type[msgspec.Struct]) -> dict[str, str]:
    """Return the docstring below each field in a struct's source, by the field's name."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(struct)))
    body = tree.body[0].body  # type: ignore[attr-defined]
    docstring_by_field: dict[str, str] = {}
    for field, following in zip(body, body[1:], strict=False):
        is_docstring = isinstance(following, ast.Expr) and isinstance(following.value, ast.Constant)
        if isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name) and is_docstring:
            docstring_by_field[field.target.id] = inspect.cleandoc(following.value.value)
    return docstring_by_field


def sections() -> list[tuple[str, str, list[SettingRow]]]:
    """Return the key prefix, description and settings of each section; that of the top level comes first."""
    groups = [("", Settings)]
    hints = get_type_hints(Settings)
    groups += [(name, kind) for name, kind in hints.items() if _is_struct(kind)]
    return [(prefix, inspect.cleandoc(kind.__doc__ or ""), _rows(prefix, kind)) for prefix, kind in groups]


def _is_struct(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _rows(prefix: str, struct: type[msgspec.Struct]) -> list[SettingRow]:
    docstrings = field_docstrings(struct)
    hints = get_type_hints(struct)
    return [
        SettingRow(
            key=f"{prefix}.{field.name}" if prefix else field.name,
            type_name=_type_name(hints[field.name]),
            default=_default(field),
            description=docstrings.get(field.name, "").replace("\n", " "),
        )
        for field in msgspec.structs.fields(struct)
        if not _is_struct(hints[field.name])
    ]


def _type_name(kind: object) -> str:
    text = kind.__name__ if isinstance(kind, type) and not hasattr(kind, "__args__") else str(kind)
    return text.replace(f"{settings.__name__}.", "").replace("Credential", "secret").replace("|", "or")


def _default(field: msgspec.structs.FieldInfo) -> str:
    """Return a field's default as JSON; that of a credential is not shown."""
    if field.required:
        return "required"
    value = field.default_factory() if field.default is msgspec.NODEFAULT else field.default
    if isinstance(value, Credential):
        return "none"
    return msgspec.json.encode(value).decode()


def render() -> str:
    """Return the page as Markdown."""
    parts = [INTRODUCTION]
    for prefix, description, rows in sections():
        parts.append(f"\n## {f'`{prefix}`' if prefix else 'Daemon'}\n\n{description}\n")
        parts.append("\n| key | form | default | meaning |\n|---|---|---|---|\n")
        for row in rows:
            parts.append(f"| `{row.key}` | {row.type_name} | `{row.default}` | {row.description} |\n")
    return "".join(parts).replace("``", "`")


if __name__ == "__main__":
    print(render(), end="")
