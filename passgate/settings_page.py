"""The operators' page of all settings, made from the typed settings and their docstrings.

Write it anew after a change::

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

A daemon reads one YAML file (`passgate serve --settings FILE`) and learns its
addresses and zone from nothing else. Every key may also be given as a flag,
which goes before the file: `--zone caruaru`, `--limits.max_body_bytes 1024`,
`--seeds 127.0.0.1:8200,127.0.0.1:8210`, `--labels rack=r1,tier=gold`.

A mistake (an unknown key, a key or label given twice, a wrong type, a bad
address) ends the start with one line on standard error that names file, key and
expected form, and exit code 2. Addresses are IP numbers with a port.

Give credentials in the file, not as flags: other users of a machine can read
flags. They are never logged. Example files are in `settings/`.

This page is generated from `passgate/settings.py`; a test keeps it true.
"""


class Field(msgspec.Struct, frozen=True, kw_only=True):
    """One documented setting."""

    key: str
    form: str
    default: str
    text: str


def field_docstrings(struct: type[msgspec.Struct]) -> dict[str, str]:
    """Return the docstrings that stand under the fields of a struct's source."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(struct)))
    body = tree.body[0].body  # type: ignore[attr-defined]
    found: dict[str, str] = {}
    for field, following in zip(body, body[1:], strict=False):
        is_text = isinstance(following, ast.Expr) and isinstance(following.value, ast.Constant)
        if isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name) and is_text:
            found[field.target.id] = inspect.cleandoc(following.value.value)
    return found


def sections() -> list[tuple[str, str, list[Field]]]:
    """Return prefix, description and fields of each group of settings."""
    groups = [("", Settings)]
    hints = get_type_hints(Settings)
    groups += [(name, kind) for name, kind in hints.items() if _is_struct(kind)]
    return [(prefix, inspect.cleandoc(kind.__doc__ or ""), _fields(prefix, kind)) for prefix, kind in groups]


def _is_struct(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _fields(prefix: str, struct: type[msgspec.Struct]) -> list[Field]:
    texts = field_docstrings(struct)
    hints = get_type_hints(struct)
    return [
        Field(
            key=f"{prefix}.{field.name}" if prefix else field.name,
            form=_form(hints[field.name]),
            default=_default(field),
            text=texts.get(field.name, "").replace("\n", " "),
        )
        for field in msgspec.structs.fields(struct)
        if not _is_struct(hints[field.name])
    ]


def _form(kind: object) -> str:
    text = kind.__name__ if isinstance(kind, type) and not hasattr(kind, "__args__") else str(kind)
    return text.replace(f"{settings.__name__}.", "").replace("Credential", "secret").replace("|", "or")


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default_factory() if field.default is msgspec.NODEFAULT else field.default
    if isinstance(value, Credential):
        return "none"
    return msgspec.json.encode(value).decode()


def render() -> str:
    """Return the page."""
    parts = [INTRODUCTION]
    for prefix, description, fields in sections():
        parts.append(f"\n## {f'`{prefix}`' if prefix else 'Daemon'}\n\n{description}\n")
        parts.append("\n| key | form | default | meaning |\n|---|---|---|---|\n")
        for field in fields:
            parts.append(f"| `{field.key}` | {field.form} | `{field.default}` | {field.text} |\n")
    return "".join(parts).replace("``", "`")


if __name__ == "__main__":
    print(render(), end="")
