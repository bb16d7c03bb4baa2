"""Messages between daemons and records on the log, as the build that is imported encodes them.

It also runs as a script under an older build, whose folder stands first in PYTHONPATH.  This made the files
of tests/build_messages, whose first line names the builds that print the rest:

    git archive COMMIT passgate | tar -x -C FOLDER
    PYTHONPATH=FOLDER:. python -P -m tests.message_types pin

``pin`` prints the types of the messages, examples of them, and names that daemons share.  ``decode`` reads
lines of a role and a message, and prints each message as the build understands it; ``unpack`` does so
with bytes.  ``folder`` prints the folder of the build.

A role is a place at which a message or record stands, such as the request of one method.  The class of a role
may have another name in each build; its encoding may not.
"""

import base64
import importlib
import json
import pathlib
import re
import sys
import zlib

import msgspec
import pynetstring

import passgate
from tests.message_shapes import describe_type, list_examples_of

MODULES_BY_ROLE = {
    "frame": ["peers.frames:Frame"],
    "jobs.alive request": ["jobs.peers:AliveRequest", "jobs.peers:AskAlive"],
    "jobs.alive response": ["jobs.liveness:AliveResponse", "jobs.liveness:Alive"],
    "jobs.hand_over request": ["jobs.peers:ReleaseJobsRequest", "jobs.peers:HandOver"],
    "jobs.hand_over response": ["jobs.peers:ReleaseJobsResponse", "jobs.peers:HandedOver"],
    "jobs.own request": ["jobs.peers:OwnRequest", "jobs.peers:OwnJob"],
    "jobs.own response": ["jobs.peers:OwnResponse", "jobs.peers:JobTaken"],
    "jobs.submit request": ["jobs.peers:SubmitRequest", "jobs.peers:SubmitJob"],
    "jobs.read request": ["jobs.peers:ReadResultsRequest", "jobs.peers:ReadJob"],
    "jobs.read response": ["jobs.reader:ResultPage"],
    "jobs.body request": ["jobs.peers:ReadBodyRequest", "jobs.peers:ReadBody"],
    "jobs.end request": ["jobs.peers:CancelRequest", "jobs.peers:EndJob"],
    "cold.permits request": [
        "eligibility.permit_issuer:PermitRequest",
        "eligibility.permit_grantor:AskPermits",
    ],
    "cold.permits response": [
        "eligibility.permit_issuer:PermitResponse",
        "eligibility.permit_grantor:PermitsGiven",
    ],
    "configuration.newer request": [
        "gateway.peer_configuration:ConfigurationQuery",
        "gateway.configuration_peers:NewerConfiguration",
    ],
    "configuration.newer response": [
        "gateway.peer_configuration:ConfigurationSnapshot",
        "gateway.configuration_peers:KnownConfiguration",
    ],
    "crashes.exchange request and response": [
        "quarantine.crash_report_exchange:CrashReportBatch",
        "quarantine.peers:CrashReports",
    ],
    "duties.clock response": ["duties.clock_sync:ClockResponse", "duties.clock_sync:ClockAnswer"],
    "duties.count request": ["duties.usage_forwarder:RecordCountsRequest", "duties.usage_channel:CountUsage"],
    "duties.count response": ["duties.usage_forwarder:CountsRecorded", "duties.usage_channel:UsageTaken"],
    "record of jobs and control": ["jobs.records:Batch"],
    "job in its pieces": ["jobs.records:JobSpec"],
    "record of bodies": ["jobs.records:BodiesPiece"],
    "bodies of an item": ["jobs.records:ItemBodies"],
    "record of a crash": ["quarantine.crash_reports:CrashReport", "quarantine.ledger:CrashReport"],
    "record of an isolated run": [
        "quarantine.isolated_runs:IsolatedRun",
        "quarantine.last_chances:LastChance",
    ],
    "record of replica changes": ["discovery.records:RelayedChanges"],
    "record of the replica list": ["discovery.records:ListPart"],
    "serve: record": ["records:Body"],
    "serve: membership message": ["membership.messages:Message"],
    "serve: configuration.records request": ["membership.configuration_sync:RecordsRequest"],
    "serve: configuration.records response": ["membership.configuration_sync:RecordsPage"],
    "serve: configuration.revision response": ["membership.configuration_sync:RevisionReport"],
    "serve: configuration.snapshot response": ["records:SnapshotTaken"],
    "serve: daemon.status response": ["server.cluster_status:DaemonStatus"],
}
"""For each role the class, in passgate, of the present build and then those of earlier ones."""

COMPRESSED_ROLES = {
    "record of jobs and control": ("encode_batch", "decode_batch", "jobs.records"),
    "job in its pieces": ("encode_spec", "decode_spec", "jobs.records"),
    "record of replica changes": ("encode_changes", "decode_changes", "discovery.records"),
}
"""Functions that a build has for roles that are compressed."""

METHOD_PATTERN = re.compile(r'"((?:jobs|duties|cold|configuration|crashes|daemon)\.[a-z_]+)"')
"""Names of methods as they stand in the code."""


def find(*candidates):
    """Return the first of some objects, named ``MODULE:NAME`` in passgate, that the build has."""
    for candidate in candidates:
        module_name, _, name = candidate.partition(":")
        try:
            return getattr(importlib.import_module(f"passgate.{module_name}"), name)
        except (ImportError, AttributeError):
            continue
    raise LookupError(f"the build has none of {candidates}")


def message_type(role):
    return find(*MODULES_BY_ROLE[role])


def encoded_examples(role):
    """Return pairs of an encoded example of a role and whether it has other than default values only."""
    examples = list_examples_of(message_type(role))
    encoded = [(msgspec.json.encode(value).decode(), is_full) for value, is_full in examples]
    return list(dict.fromkeys(encoded))


# --- bytes and names -----------------------------------------------------------------


def pack(role, message):
    """Return the bytes in which the build carries a message of a role that is not plain JSON."""
    if role == "frame":
        return find("peers.frames:encode_frame")(message)
    if role == "record of the replica list":
        return find("discovery.records:encode_part")(message).value
    encode, _, module = COMPRESSED_ROLES[role]
    return find(f"{module}:{encode}")(message)


def unpack(role, data):
    """Return the message that the build finds in bytes of ``pack``."""
    if role == "frame":
        (frame,) = find("peers.frames:FrameDecoder")().feed(data)
        return frame
    if role == "record of the replica list":
        record = find("sharedlog.log:KeyedRecord")(key="7", value=data)
        return find("discovery.records:decode_part")(record)
    _, decode, module = COMPRESSED_ROLES[role]
    return find(f"{module}:{decode}")(data)


def unpack_plainly(role, data):
    """Return the JSON in bytes of ``pack`` without the build's code."""
    return pynetstring.decode(data)[0] if role == "frame" else zlib.decompress(data)


PACKED_ROLES = ("frame", "record of the replica list", *COMPRESSED_ROLES)


def shared_names():
    """Return names and keys that daemons of all builds must form alike, by what they name."""
    names = importlib.import_module("passgate.platform.names")
    key_of = find("quarantine.crash_report_log:_key_of", "quarantine.channel:_key")
    report, run = (
        list_examples_of(message_type(f"record of {kind}"))[0][0] for kind in ("a crash", "an isolated run")
    )
    topics = {name: value for name, value in vars(names).items() if name.endswith(("_TOPIC", "_GROUP"))}
    return topics | {
        "member": find("sharedlog.member_names:member_name")("front-1", "10.1.0.10:7720", 2.1512),
        "writer": find("jobs.records:writer_name")("front-1", "5f3a", "10.1.0.10:7720"),
        "bodies topic": find("jobs.restricted_bodies:bodies_topic", "jobs.bound_bodies:topic_of")(
            "jobs", frozenset({"b", "a"})
        ),
        "group": find("sharedlog.group:group_of_zone")("watch", "zone-a"),
        "key of a crash": key_of(report),
        "key of an isolated run": key_of(run),
        "part of a replica": find("discovery.records:part_of")("replica-7"),
        "version of frames": find("peers.frames:PROTOCOL_VERSION"),
    }


def method_names():
    """Return the names of all methods that daemons call on each other."""
    folder = pathlib.Path(passgate.__file__).parent
    return sorted(
        {name for file in folder.rglob("*.py") for name in METHOD_PATTERN.findall(file.read_text("utf-8"))}
    )


def error_codes():
    """Return the codes of all errors, which a response to a call may carry."""
    importlib.import_module("passgate.errors")
    pending, codes = [find("errors:PassgateError")], set()
    while pending:
        error = pending.pop()
        codes.add(error.code)
        pending += error.__subclasses__()
    return sorted(codes)


# --- the script ----------------------------------------------------------------------


def list_pins():
    """Return what ``pin`` prints, as tuples of a role, a kind of line and its content."""
    pins = [("", "names", json.dumps(shared_names()))]
    pins += [("", "methods", json.dumps(method_names())), ("", "errors", json.dumps(error_codes()))]
    for role in MODULES_BY_ROLE:
        pins.append((role, "type", json.dumps(describe_type(message_type(role)))))
        pins += [(role, "full" if full else "partial", text) for text, full in encoded_examples(role)]
    for role in PACKED_ROLES:
        message = list_examples_of(message_type(role))[0][0]
        pins.append((role, "bytes", base64.b64encode(pack(role, message)).decode()))
    return pins


def decode_lines(lines):
    """Yield each message as the build understands it, or a line that starts with ``!`` if it can not."""
    for line in lines:
        role, _, text = line.rstrip("\n").partition("\t")
        try:
            yield msgspec.json.encode(msgspec.json.decode(text, type=message_type(role))).decode()
        except msgspec.DecodeError as error:
            yield f"! {error}"


def unpack_lines(lines):
    """Yield the message that the build finds in each line's role and bytes."""
    for line in lines:
        role, _, data = line.rstrip("\n").partition("\t")
        yield msgspec.json.encode(unpack(role, base64.b64decode(data))).decode()


def main(command):
    if command == "pin":
        for pin in list_pins():
            print(*pin, sep="\t")
    elif command == "folder":
        print(pathlib.Path(passgate.__file__).parent.parent)
    else:
        answer_lines = {"decode": decode_lines, "unpack": unpack_lines}[command]
        print(*answer_lines(sys.stdin), sep="\n")


if __name__ == "__main__":
    main(*sys.argv[1:])
