"""``passgate explain ID``: the life of one request, job or item from the daemons' logs.

Reads decision lines of any number of daemons, also behind a prefix that another
tool put before them, shows the lines that name the ID in order, and says what went
wrong.

>>> lines = ['{"time":1.0,"daemon":"d","event":"forward_sent","request_id":"r","replica_id":"e"}',
...          '{"time":1.2,"daemon":"d","event":"forward_ended","request_id":"r","status":504,'
...          '"reason":"deadline_exceeded","replicas":["e"],"elapsed_ms":200.0}']
>>> story = explain("r", lines)
>>> story.verdict
'answered 504 after 200 ms (deadline_exceeded): no replica answered within the time limit; tried e'
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from passgate.errors import InvalidRequest
from passgate.gateway.access import SCOPE_MARK

Line = dict[str, Any]
"""One decision line as read; its fields are those of :mod:`passgate.decisions`."""

ID_FIELDS = ("request_id", "job_id", "item_id", "replica_id", "fingerprint")
HEAD_FIELDS = frozenset({"time", "up", "daemon", "event"})
FAILURE_STATUS = 400
REWARD_EVENTS = frozenset({"reward_sent", "reward_failed"})

REWARD_ANSWERED_500 = "the replica answered 500"
REASONS = {
    "no_replica_available": "replicas were full, set aside or not known; nothing ran",
    "no_replica_in_regions": "no replica of the allowed regions could take it; nothing ran",
    "no_region_allowed": "its route and tenant allow no region in common; nothing ran",
    "not_ready": "the daemon did not know the configuration or could not read the log; nothing ran",
    "deadline_exceeded": "no replica answered within the time limit",
    "backend_unreachable": "connections to replicas failed after the request was sent",
    "missing_credential": "the request carried no API key; nothing ran",
    "malformed_credential": "the request's API key was not in the bearer form, or sent twice; nothing ran",
    "unknown_key": "no tenant of the configuration in force holds the request's API key; nothing ran",
    "no_route": "no route of the configuration in force matches",
    "log_unavailable": "the log refused or could not be reached; the job never runs",
    "durability_unknown": "the answer of the log was lost; the job may run",
    "malformed_body": "the body is no batch job",
    "backend_refused": "the replica was full or loading",
    "replica_replaced": "another replica listens at the address of the one that was asked",
    "send_forbidden": "nothing was sent: the replica leaves, or a rule keeps requests from it",
    "send_too_late": "nothing was sent: the permit for a cold replica ran out while the connection opened",
    "incomplete_answer": "the stream broke off or fell silent",
    "version_too_old": "the replica's weights were older than the job allows",
    "moved_elsewhere": "another replica was much faster",
    "answer_mismatch": "the answer belonged to another request",
    REWARD_ANSWERED_500: "the scorer failed; as many of these as the routes allow end the item",
}


class Story(msgspec.Struct, frozen=True, kw_only=True):
    """What the logs say about one ID."""

    lines: tuple[str, ...]
    verdict: str


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the decision lines among texts; anything else is passed over."""
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line:
            line.setdefault("time", 0.0)
            line["_order"] = _prefix_time(text[:start], line["time"])
            found.append(line)
    return found


def _prefix_time(prefix: str, default: float) -> float:
    """Return the time that a tool wrote before a line, which all daemons share."""
    first = prefix.split(None, 1)[0] if prefix.strip() else ""
    try:
        return float(first)
    except ValueError:
        return float(default)


def explain(wanted: str, texts: Iterable[str]) -> Story:
    """Return the life of an ID; raises InvalidRequest when no line names it."""
    lines = read_lines(texts)
    mine = [line for line in lines if any(_names(line, name, wanted) for name in ID_FIELDS)]
    if not mine:
        raise InvalidRequest(f"no line names {wanted}")
    mine.sort(key=lambda line: (line["_order"], line["time"]))
    return Story(lines=tuple(_show(line) for line in mine), verdict=_verdict(wanted, mine, lines))


def _names(line: Line, field: str, wanted: str) -> bool:
    """Whether a line's field holds an ID; a job's ID follows the name of its tenant."""
    told = line.get(field)
    return told == wanted or (field == "job_id" and str(told).endswith(f"{SCOPE_MARK}{wanted}"))


def _show(line: Line) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in HEAD_FIELDS and not name.startswith("_")
    )
    return f"{line['_order']:>10.3f} {line.get('daemon', '?')} {line['event']} {fields}"


def _verdict(wanted: str, mine: list[Line], lines: list[Line]) -> str:
    if any(line.get("item_id") == wanted for line in mine):
        return _item_verdict(mine, lines)
    items = {line["item_id"] for line in mine if line["event"] in REWARD_EVENTS}
    if items:
        of_item = [line for line in lines if line.get("item_id") in items]
        return f"reward call of item {', '.join(sorted(items))}: {_item_verdict(of_item, lines)}"
    if any(line.get("job_id") == wanted for line in mine):
        return _job_verdict(mine)
    if any(line.get("fingerprint") == wanted for line in mine):
        return _fingerprint_verdict(mine)
    return _request_verdict(mine)


def _because(code: str) -> str:
    known = code.partition(":")[0]
    return REASONS.get(known, known or "no reason was given")


def _request_verdict(mine: list[Line]) -> str:
    ends = [line for line in mine if line["event"] in ("forward_ended", "request_refused")]
    if not ends:
        return "no answer was logged: the caller left, the daemon ended, or the line was dropped"
    end = ends[-1]
    status, reason = end["status"], end.get("reason", "")
    after = f" after {end['elapsed_ms']:.0f} ms" if "elapsed_ms" in end else ""
    tried = ", ".join(end.get("replicas", [])) or "no replica"
    if status < FAILURE_STATUS:
        return f"answered {status}{after}; tried {tried}"
    if not reason:
        return f"answered {status}{after}: the replica's own answer; tried {tried}"
    return f"answered {status}{after} ({reason}): {_because(reason)}; tried {tried}"


def _fingerprint_verdict(mine: list[Line]) -> str:
    """Say how the attempts of all tries of one request failed."""
    failures = [line for line in mine if line["event"] == "attempt_failed"]
    tries = {line["request_id"] for line in failures}
    replicas = ", ".join(dict.fromkeys(line["replica_id"] for line in failures))
    return (
        f"{len(failures)} failed attempts in {len(tries)} tries of one request, "
        f"at {replicas} ({_reasons(failures)})"
    )


def _job_verdict(mine: list[Line]) -> str:
    failed = [line for line in mine if line["event"] == "job_accept_failed"]
    accepted = [line for line in mine if line["event"] == "job_accepted"]
    if failed and not accepted:
        return f"not accepted ({failed[-1]['reason']}): {_because(failed[-1]['reason'])}"
    moves = [line for line in mine if line["event"] == "job_owned"]
    dead = [line for line in mine if line["event"] == "item_listed" and line["state"] == "dead"]
    ends = [line for line in mine if line["event"] == "job_ended"]
    unsure = [line for line in mine if line["event"] == "job_end_failed"]
    parts = [f"accepted {len(accepted)} times" if accepted else "its acceptance is not in these logs"]
    if moves:
        parts.append(f"taken over {len(moves)} times, last by {moves[-1].get('daemon')}")
    if dead:
        parts.append(f"{len(dead)} items dead")
    if ends:
        parts.append(f"ended with {ends[-1]['listed']} of {ends[-1]['total']} results")
    elif unsure:
        parts.append(f"its end was not confirmed ({unsure[-1]['reason']}) and may have taken effect")
    return "; ".join(parts)


def _item_verdict(mine: list[Line], lines: list[Line]) -> str:
    failures = [line for line in mine if line["event"] == "item_failed"]
    listed = [line for line in mine if line["event"] == "item_listed"]
    job_id = next((line["job_id"] for line in mine if "job_id" in line), "")
    moves = [line for line in lines if line["event"] == "job_owned" and line.get("job_id") == job_id]
    parts = []
    if listed:
        last = listed[-1]
        parts.append(f"{last['state']} after {last['elapsed_ms']:.0f} ms, versions {last['versions']}")
    else:
        parts.append("no result in these logs")
    if failures:
        parts.append(f"{len(failures)} failed attempts ({_reasons(failures)})")
    rewards = [line for line in mine if line["event"] == "reward_failed"]
    if rewards:
        parts.append(f"{len(rewards)} failed attempts of its reward call ({_reasons(rewards)})")
    if moves:
        parts.append(f"its job was taken over {len(moves)} times")
    return "; ".join(parts)


def _reasons(failures: list[Line]) -> str:
    codes = sorted({failure["reason"].partition(":")[0] for failure in failures})
    return "; ".join(f"{code}: {_because(code)}" for code in codes)


def run(identifier: str, *files: str) -> None:
    """Show the life of one request, job or item.

    Args:
        identifier: the id of a request, job, item or replica, or a request's fingerprint.
        files: log files; ``-`` or none means standard input.
    """
    texts: list[str] = []
    for file in files or ("-",):
        text = sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8", errors="replace")
        texts += text.splitlines()
    story = explain(str(identifier), texts)
    for line in story.lines:
        print(line)
    print(f"cause: {story.verdict}")
