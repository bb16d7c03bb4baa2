"""Operators' commands: ``passgate apply``, ``get``, ``diff``, ``delete`` and ``watch``.

The address of a daemon's operators' port is given by ``--operator`` or by the environment variable
PASSGATE_OPERATOR.  The credential is given by ``--credential_file`` or by PASSGATE_CREDENTIAL; there is no
flag for it, as other users of the machine could read it.
"""

from __future__ import annotations

import asyncio
import difflib
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from rich.console import Console
from rich.table import Table

from passgate.clients.curl import HttpClient
from passgate.errors import MalformedBody, NotFound, SettingsError
from passgate.operator_client import OperatorClient, rebuild_error
from passgate.schema import Labels
from passgate.server.wire import ApplyObject, ConfigList, ConfigObjectView, WatchAnswer
from passgate.settings import Credential, load_unique_yaml, parse_address
from passgate.state.specs import decode_spec

OPERATOR_VARIABLE = "PASSGATE_OPERATOR"
CREDENTIAL_VARIABLE = "PASSGATE_CREDENTIAL"
EXIT_DIFFERENT = 1

T = TypeVar("T")


class FileObject(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A configuration object as operators write it in YAML."""

    kind: str
    name: str
    labels: Labels = {}
    spec: dict[str, Any]
    expected_revision: int | None = None


class ObjectsFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Content of a YAML file of configuration objects."""

    objects: tuple[FileObject, ...]


def read_objects(path: str) -> tuple[ApplyObject, ...]:
    """Return the validated objects of a YAML file; raises SettingsError with the file and key."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} can not be read", file=path, expected="a YAML file") from error
    try:
        parsed = msgspec.convert(load_unique_yaml(text, path), ObjectsFile)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}", file=path, expected="objects: [{kind, name, spec}]") from None
    seen: set[tuple[str, str]] = set()
    for item in parsed.objects:
        if (item.kind, item.name) in seen:
            key = f"{item.kind}/{item.name}"
            raise SettingsError(f"{path}: {key} is given twice", file=path, key=key, expected="each once")
        seen.add((item.kind, item.name))
    return tuple(_validate_object(path, item) for item in parsed.objects)


def _validate_object(path: str, item: FileObject) -> ApplyObject:
    spec = msgspec.json.encode(item.spec)
    try:
        decode_spec(item.kind, spec, strict=True)
    except MalformedBody as error:
        key = f"{item.kind}/{item.name}"
        raise SettingsError(f"{path}, {key}: {error}", file=path, key=key, **error.details) from None
    return ApplyObject(
        kind=item.kind,
        name=item.name,
        labels=item.labels,
        spec=msgspec.Raw(spec),
        expected_revision=item.expected_revision,
    )


def run_with_client(
    operator: str, credential_file: str, use_client: Callable[[OperatorClient], Awaitable[T]]
) -> T:
    """Run a coroutine function with a client of the daemon that flags or the environment name.

    Raises SettingsError if the address is invalid or the credential's file can not be read.
    """
    address = str(operator or os.environ.get(OPERATOR_VARIABLE, ""))
    parse_address(address, "flags", "operator")
    credential = Credential(os.environ.get(CREDENTIAL_VARIABLE, ""))
    if credential_file:
        try:
            credential = Credential(Path(credential_file).read_text(encoding="utf-8").strip())
        except OSError as error:
            raise SettingsError(
                f"{credential_file} can not be read", file=credential_file, expected="a file"
            ) from error

    async def call() -> T:
        http = HttpClient()
        try:
            return await use_client(OperatorClient(http, address, credential))
        finally:
            http.close()

    return asyncio.run(call())


def apply(file: str, operator: str = "", credential_file: str = "") -> None:
    """Put all objects of a YAML file, in order, up to the first that fails.

    Args:
        file: YAML with ``objects: [{kind, name, labels, spec, expected_revision}]``.
        operator: IP:port of any daemon's operators' port.
        credential_file: file with the operators' credential.
    """
    objects = read_objects(file)
    answer = run_with_client(operator, credential_file, lambda client: client.apply(objects))
    for result in answer.results:
        if result.error is not None:
            raise rebuild_error(result.error)
        print(f"{result.kind}/{result.name} revision {result.revision}")


def get(
    kind: str = "",
    name: str = "",
    selector: str = "",
    json: bool = False,
    operator: str = "",
    credential_file: str = "",
) -> None:
    """Show configuration objects.

    Args:
        kind: Pool, ModelVersion or PriorityClass; all when left out.
        name: one object.
        selector: label selector.
        json: print JSON instead of a table.
        operator: IP:port of any daemon's operators' port.
        credential_file: file with the operators' credential.
    """

    async def fetch(client: OperatorClient) -> ConfigList:
        if not name:
            return await client.list_objects(kind, selector)
        item = await client.get_object(kind, name)
        return ConfigList(revision=item.revision, objects=(item,))

    config_list = run_with_client(operator, credential_file, fetch)
    if json:
        print(msgspec.json.encode(config_list).decode())
        return
    table = Table("kind", "name", "revision", "labels", "spec")
    for item in config_list.objects:
        labels = ",".join(f"{key}={value}" for key, value in sorted(item.labels.items()))
        table.add_row(item.kind, item.name, str(item.revision), labels, bytes(item.spec).decode())
    Console().print(table)


def diff(file: str, operator: str = "", credential_file: str = "") -> None:
    """Compare a file with the active objects; exit code 1 if they differ.

    Args:
        file: YAML as for ``passgate apply``.
        operator: IP:port of any daemon's operators' port.
        credential_file: file with the operators' credential.
    """
    objects = read_objects(file)

    async def fetch(client: OperatorClient) -> list[ConfigObjectView | None]:
        views: list[ConfigObjectView | None] = []
        for item in objects:
            try:
                views.append(await client.get_object(item.kind, item.name))
            except NotFound:
                views.append(None)
        return views

    current = run_with_client(operator, credential_file, fetch)
    different = False
    for item, view in zip(objects, current, strict=True):
        before = _canonical_lines(view.kind, view.labels, bytes(view.spec)) if view else []
        after = _canonical_lines(item.kind, item.labels, bytes(item.spec))
        title = f"{item.kind}/{item.name}"
        for line in difflib.unified_diff(before, after, f"{title} in force", f"{title} in file", lineterm=""):
            print(line)
            different = True
    if different:
        raise SystemExit(EXIT_DIFFERENT)


def _canonical_lines(kind: str, labels: Labels, spec: bytes) -> list[str]:
    """Return an object's text with all defaults filled in and labels sorted, for comparison."""
    complete_spec = msgspec.json.encode(decode_spec(kind, spec, strict=False))
    document = msgspec.json.encode({"labels": labels, "spec": msgspec.Raw(complete_spec)}, order="sorted")
    return msgspec.json.format(document, indent=2).decode().splitlines()


def delete(
    kind: str, name: str, expected_revision: int | None = None, operator: str = "", credential_file: str = ""
) -> None:
    """Delete one object.

    Args:
        kind: Pool, ModelVersion or PriorityClass.
        name: the object.
        expected_revision: delete only when the object is at this revision.
        operator: IP:port of any daemon's operators' port.
        credential_file: file with the operators' credential.
    """
    answer = run_with_client(
        operator, credential_file, lambda client: client.delete(kind, name, expected_revision)
    )
    print(f"{answer.kind}/{answer.name} deleted at revision {answer.revision}")


def watch(
    once: bool = False,
    every_s: float = 2.0,
    json: bool = False,
    operator: str = "",
    credential_file: str = "",
) -> None:
    """Show the configuration revision of each daemon repeatedly, until interrupted.

    Args:
        once: show it only once.
        every_s: pause between two reads, in seconds.
        json: print JSON lines instead of a table.
        operator: IP:port of any daemon's operators' port.
        credential_file: file with the operators' credential.
    """
    while True:
        answer = run_with_client(operator, credential_file, lambda client: client.watch())
        print(msgspec.json.encode(answer).decode()) if json else Console().print(_watch_table(answer))
        if once:
            return
        time.sleep(every_s)


def _watch_table(answer: WatchAnswer) -> Table:
    table = Table(
        "daemon", "zone", "member", "life", "revision", "behind", title=f"revision {answer.revision}"
    )
    for view in answer.daemons:
        revision = str(view.revision) if view.reached else "?"
        behind = "?" if view.behind is None else str(view.behind)
        table.add_row(view.daemon_id, view.zone, view.member_state, view.life or "?", revision, behind)
    return table
