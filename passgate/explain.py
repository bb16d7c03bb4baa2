"""Implements ``passgate explain ID``: explains one request, job or item from the daemons' decision logs.

Reads decision lines of any number of daemons, with or without a prefix that another tool has added to each.
Shows the lines that contain the identifier, in order of time, and states the result or the cause of the
failure.

>>> lines = ['{"time":1.0,"daemon":"d","event":"forward_sent","request_id":"r","replica_id":"e"}',
...          '{"time":1.2,"daemon":"d","event":"forward_ended","request_id":"r","status":504,'
...          '"reason":"deadline_exceeded","replicas":["e"],"elapsed_ms":200.0}']
>>> explanation = explain("r", lines)
>>> explanation.verdict
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
from passgate.gateway.access import TENANT_SEPARATOR

LogLine = dict[str, Any]
"""A decoded decision line: an event of :mod:`passgate.decisions`, with the fields that all lines have."""

ID_FIELDS = ("request_id", "job_id", "item_id", "replica_id", "fingerprint", "fingerprints")
"""Fields whose value, or one of whose values, may be the identifier to explain."""
COMMON_FIELDS = frozenset({"time", "up", "daemon", "event"})
"""Fields that all lines have; they are not printed among an event's own fields."""
FIRST_ERROR_STATUS = 400
REWARD_EVENTS = frozenset({"reward_sent", "reward_failed"})

REWARD_ANSWERED_500 = "the replica answered 500"
"""Reason in a ``reward_failed`` line for an answer with status 500."""
DESCRIPTION_BY_CODE = {
    "no_replica_available": "replicas were full, set aside or not known; nothing ran",
    "no_replica_in_regions": "no replica of the allowed regions could take it; nothing ran",
    "no_region_allowed": "its route and tenant allow no region in common; nothing ran",
    "not_ready": "the daemon did not know the configuration or could not read the log; nothing ran",
    "deadline_exceeded": "no replica answered within the time limit",
    "backend_unreachable": "connections to replicas failed after the request was sent",
    "missing_credential": "the request carried no API key; nothing ran",
    "malformed_credential": "the request's API key was not in the bearer form, or sent twice; nothing ran",
    "unknown_key": "the request's API key belongs to no tenant of the active configuration; nothing ran",
    "no_route": "no route of the active configuration matches",
    "log_unavailable": "the log refused or could not be reached; the job never runs",
    "durability_unknown": "the log did not confirm the job in time; the job may run",
    "malformed_body": "the body is not a batch job",
    "backend_refused": "the replica refused the request, for example as it was full or loading",
    "replica_replaced": "a different replica listens at the replica's address",
    "send_forbidden": "nothing was sent: the replica is draining, or a rule excludes it",
    "send_too_late": "nothing was sent: the permit for a cold replica expired before the connection was open",
    "incomplete_answer": "the answer ended early, stalled, was invalid or had an error status",
    "version_too_old": "the replica's weights were older than the job allows",
    "moved_elsewhere": "another replica was faster",
    "answer_mismatch": "the answer belonged to another request",
    REWARD_ANSWERED_500: "the scorer failed; as many of these as the routes allow end the item",
}
"""Description for an operator, by error code or other reason in a decision line."""


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What the logs say about one identifier."""

    lines: tuple[str, ...]
    """The lines with the identifier, formatted for a person, in order of time."""
    verdict: str
    """The result, or the cause of the failure."""


def parse_lines(raw_lines: Iterable[str]) -> list[LogLine]:
    """Return the decision lines; skip those that from the first ``{`` on are no object with a key ``event``.

    The key ``_order`` that is added to each holds the time by which lines are sorted.
    """
    found = []
    for raw_line in raw_lines:
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw_line[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line:
            line.setdefault("time", 0.0)
            line["_order"] = _time_of_prefix(raw_line[:start], line["time"])
            found.append(line)
    return found


def _time_of_prefix(prefix: str, default: float) -> float:
    """Return the time with which a prefix begins, by the clock of the tool that added it, or ``default``."""
    first = prefix.split(None, 1)[0] if prefix.strip() else ""
    try:
        return float(first)
    except ValueError:
        return float(default)


def explain(identifier: str, raw_lines: Iterable[str]) -> Explanation:
    """Explain an identifier; raises InvalidRequest when no line contains it."""
    lines = parse_lines(raw_lines)
    matching = [line for line in lines if any(_has_identifier(line, name, identifier) for name in ID_FIELDS)]
    if not matching:
        raise InvalidRequest(f"no decision line holds the identifier {identifier}")
    matching.sort(key=lambda line: (line["_order"], line["time"]))
    return Explanation(
        lines=tuple(_format_line(line) for line in matching), verdict=_verdict(identifier, matching, lines)
    )


def _has_identifier(line: LogLine, field: str, identifier: str) -> bool:
    """Whether a line's field is or lists the identifier; in ``job_id``, the tenant's name may precede it."""
    value = line.get(field)
    if isinstance(value, list):
        return identifier in value
    return value == identifier or (
        field == "job_id" and str(value).endswith(f"{TENANT_SEPARATOR}{identifier}")
    )


def _format_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in COMMON_FIELDS and not name.startswith("_")
    )
    return f"{line['_order']:>10.3f} {line.get('daemon', '?')} {line['event']} {fields}"


def _verdict(identifier: str, matching: list[LogLine], all_lines: list[LogLine]) -> str:
    if any(line.get("item_id") == identifier for line in matching):
        return _item_verdict(matching, all_lines)
    items = {line["item_id"] for line in matching if line["event"] in REWARD_EVENTS}
    if items:
        of_item = [line for line in all_lines if line.get("item_id") in items]
        return f"reward call of item {', '.join(sorted(items))}: {_item_verdict(of_item, all_lines)}"
    if any(line.get("job_id") == identifier for line in matching):
        return _job_verdict(matching)
    if any(line.get("fingerprint") == identifier for line in matching):
        return _fingerprint_verdict(matching)
    return _request_verdict(matching)


def _describe_code(code: str) -> str:
    """Return the description of the code with which a reason begins; the code itself if it has none."""
    code_alone = code.partition(":")[0]
    return DESCRIPTION_BY_CODE.get(code_alone, code_alone or "no reason was given")


def _request_verdict(matching: list[LogLine]) -> str:
    ends = [line for line in matching if line["event"] in ("forward_ended", "request_refused")]
    if not ends:
        return "no answer was logged: the caller left, the daemon ended, or the line was dropped"
    end = ends[-1]
    status, reason = end["status"], end.get("reason", "")
    after = f" after {end['elapsed_ms']:.0f} ms" if "elapsed_ms" in end else ""
    tried = ", ".join(end.get("replicas", [])) or "no replica"
    if status < FIRST_ERROR_STATUS:
        return f"answered {status}{after}; tried {tried}"
    if not reason:
        return f"answered {status}{after}: the replica's own answer; tried {tried}"
    return f"answered {status}{after} ({reason}): {_describe_code(reason)}; tried {tried}"


def _fingerprint_verdict(matching: list[LogLine]) -> str:
    """Summarize the failed attempts of callers' requests with the same content."""
    failures = [line for line in matching if line["event"] == "attempt_failed"]
    request_ids = {line["request_id"] for line in failures}
    replicas = ", ".join(dict.fromkeys(line["replica_id"] for line in failures))
    return (
        f"{len(failures)} failed attempts in {len(request_ids)} requests with the same content, "
        f"at {replicas} ({_describe_failures(failures)})"
    )


def _job_verdict(matching: list[LogLine]) -> str:
    failed = [line for line in matching if line["event"] == "job_accept_failed"]
    accepted = [line for line in matching if line["event"] == "job_accepted"]
    if failed and not accepted:
        return f"not accepted ({failed[-1]['reason']}): {_describe_code(failed[-1]['reason'])}"
    takeovers = [line for line in matching if line["event"] == "job_owned"]
    runs = [line for line in matching if line["event"] == "job_run_started"]
    dead = [line for line in matching if line["event"] == "item_listed" and line["state"] == "dead"]
    ends = [line for line in matching if line["event"] == "job_ended"]
    unconfirmed = [line for line in matching if line["event"] == "job_end_failed"]
    parts = [f"accepted {len(accepted)} times" if accepted else "its acceptance is not in these logs"]
    if takeovers:
        parts.append(f"taken over {len(takeovers)} times, last by {takeovers[-1].get('daemon')}")
    if runs:
        last = runs[-1]
        parts.append(
            f"run {len(runs)} times, last by {last.get('daemon')} on a view {last['view_age_s']} s old"
        )
    if dead:
        parts.append(f"{len(dead)} items dead")
    if ends:
        parts.append(f"ended with {ends[-1]['listed']} of {ends[-1]['total']} results")
    elif unconfirmed:
        parts.append(f"its end was not confirmed ({unconfirmed[-1]['reason']}) and may have taken effect")
    return "; ".join(parts)


def _item_verdict(matching: list[LogLine], all_lines: list[LogLine]) -> str:
    failures = [line for line in matching if line["event"] == "item_failed"]
    results = [line for line in matching if line["event"] == "item_listed"]
    job_id = next((line["job_id"] for line in matching if "job_id" in line), "")
    takeovers = [line for line in all_lines if line["event"] == "job_owned" and line.get("job_id") == job_id]
    parts = []
    if results:
        last = results[-1]
        parts.append(f"{last['state']} after {last['elapsed_ms']:.0f} ms, versions {last['versions']}")
    else:
        parts.append("no result in these logs")
    if failures:
        parts.append(f"{len(failures)} failed attempts ({_describe_failures(failures)})")
    failed_rewards = [line for line in matching if line["event"] == "reward_failed"]
    if failed_rewards:
        parts.append(
            f"{len(failed_rewards)} failed attempts of its reward call ({_describe_failures(failed_rewards)})"
        )
    if takeovers:
        parts.append(f"its job was taken over {len(takeovers)} times")
    return "; ".join(parts)


def _describe_failures(failures: list[LogLine]) -> str:
    codes = sorted({failure["reason"].partition(":")[0] for failure in failures})
    return "; ".join(f"{code}: {_describe_code(code)}" for code in codes)


def run(identifier: str, *files: str) -> None:
    """Print the decision lines that contain an identifier, and the result or the cause of a failure.

    Args:
        identifier: identifier of a request, job, item or replica, or a request's fingerprint.
        files: log files; ``-`` means standard input, which is also read if no file is given.
    """
    raw_lines: list[str] = []
    for file in files or ("-",):
        text = sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8", errors="replace")
        raw_lines += text.splitlines()
    explanation = explain(str(identifier), raw_lines)
    for line in explanation.lines:
        print(line)
    print(f"cause: {explanation.verdict}")
