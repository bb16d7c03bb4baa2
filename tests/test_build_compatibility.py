"""Daemons of this build understand those of earlier builds, and are understood by them.

``build_messages`` holds what earlier builds encode and decode; see ``message_types``.  Where the repository's
history is at hand, the earlier builds themselves decode this build's messages too.
"""

import base64
import json
import os
import pathlib
import re
import subprocess
import sys

import msgspec
import pytest

import passgate
from tests import message_types
from tests.message_shapes import describe_type, list_examples_of, rebuild
from tests.soak.builds import ROOT, BuildUnavailable, extract_build

PIN_FILES = sorted(pathlib.Path(__file__).with_name("build_messages").glob("*.txt"))
DECODED_TYPE = re.compile(r"json\.(?:decode\([^\n]*type=|Decoder\()([A-Z]\w+)")
"""Name of a class that is decoded from JSON."""
DECODING_PACKAGES = (
    "jobs",
    "versions",
    "duties",
    "eligibility",
    "gateway",
    "quarantine",
    "peers",
    "discovery",
    "sharedlog",
    "daemon",
)
COUNTED_BY_READER = "unreadable"
"""Field that a reader of the list of replicas sets to the number of entries that it could not decode."""


class Pins:
    """What earlier builds print about their messages."""

    def __init__(self, file):
        header, *self.lines = file.read_text("utf-8").splitlines()
        self.builds = header.partition("\t")[2].split()
        self._pins = [line.split("\t", 2) for line in self.lines]

    def contents(self, role, kind):
        return [content for pin_role, pin_kind, content in self._pins if (pin_role, pin_kind) == (role, kind)]

    def value(self, role, kind):
        (content,) = self.contents(role, kind)
        return json.loads(content)


@pytest.fixture(params=PIN_FILES, ids=lambda file: file.stem)
def pins(request):
    return Pins(request.param)


roles = pytest.mark.parametrize("role", message_types.MODULES_BY_ROLE)
packed_roles = pytest.mark.parametrize("role", message_types.PACKED_ROLES)


def find_lost(earlier, present, *, is_full, path=""):
    """Return the paths of values of an earlier build's view of a message that the present one's lacks.

    Args:
        earlier: JSON value as an earlier build encodes it.
        present: the same as this build encodes it; it may have further fields.
        is_full: whether all fields have other than default values, so that none is left out.
        path: path of the values, for the result.
    """
    if isinstance(earlier, dict) and isinstance(present, dict):
        lost = [f"{path}.{key}" for key in earlier if is_full and key not in present]
        for key in earlier.keys() & present.keys():
            lost += find_lost(earlier[key], present[key], is_full=is_full, path=f"{path}.{key}")
        return lost
    if isinstance(earlier, list) and isinstance(present, list):
        lost = [f"{path}[{index}]" for index in range(len(present), len(earlier))]
        for index, (item, present_item) in enumerate(zip(earlier, present, strict=False)):
            lost += find_lost(item, present_item, is_full=is_full, path=f"{path}[{index}]")
        return lost
    return [] if earlier == present else [f"{path}: {earlier!r} is {present!r}"]


def decode_as(message_type, text):
    """Return the JSON value of a message as a type understands it."""
    return json.loads(msgspec.json.encode(msgspec.json.decode(text, type=message_type)))


@roles
def test_messages_of_earlier_builds_are_understood(pins, role):
    present_type = message_types.message_type(role)
    for kind in ("full", "partial"):
        for text in pins.contents(role, kind):
            understood = decode_as(present_type, text)
            assert not find_lost(json.loads(text), understood, is_full=kind == "full"), text


@roles
def test_earlier_builds_understand_the_messages(pins, role):
    earlier_type = rebuild(pins.value(role, "type"))
    for text, is_full in message_types.encoded_examples(role):
        understood = decode_as(earlier_type, text)
        assert not find_lost(understood, json.loads(text), is_full=is_full), text


@roles
def test_unknown_fields_are_ignored(role):
    """Later builds may add fields, so no message forbids them."""
    assert "forbid_unknown_fields" not in json.dumps(describe_type(message_types.message_type(role)))


@packed_roles
def test_packed_messages_of_earlier_builds_are_unpacked(pins, role):
    (packed,) = pins.contents(role, "bytes")
    unpacked = message_types.unpack(role, base64.b64decode(packed))
    check_unpacked(json.loads(pins.contents(role, "full")[0]), json.loads(msgspec.json.encode(unpacked)))


def check_unpacked(earlier, present):
    """Check that unpacking loses nothing; each is one build's view of the same message."""
    lost = find_lost(earlier, present, is_full=True)
    if COUNTED_BY_READER in earlier:
        assert 0 in (earlier[COUNTED_BY_READER], present[COUNTED_BY_READER])
        lost = [path for path in lost if not path.startswith(f".{COUNTED_BY_READER}:")]
    assert not lost


@packed_roles
def test_messages_are_packed_as_by_earlier_builds(pins, role):
    message = list_examples_of(message_types.message_type(role))[0][0]
    data = message_types.unpack_plainly(role, message_types.pack(role, message))
    assert json.loads(data) == json.loads(msgspec.json.encode(message))
    (packed,) = pins.contents(role, "bytes")
    assert message_types.unpack_plainly(role, base64.b64decode(packed))


def test_daemons_share_the_names_of_earlier_builds(pins):
    names = message_types.shared_names()
    assert {name: names.get(name) for name in pins.value("", "names")} == pins.value("", "names")


def test_methods_and_error_codes_of_earlier_builds_remain(pins):
    assert not set(pins.value("", "methods")) - set(message_types.method_names())
    assert not set(pins.value("", "errors")) - set(message_types.error_codes())


def test_every_type_that_a_daemon_decodes_has_a_role():
    """Guards against a message type without a role, which the other tests would not see."""
    names = {candidates[0].partition(":")[2] for candidates in message_types.MODULES_BY_ROLE.values()}
    names |= {"ReplicaUpdate"}  # part of the records of replicas
    folder = pathlib.Path(passgate.__file__).parent
    files = [file for package in DECODING_PACKAGES for file in (folder / package).rglob("*.py")]
    decoded = {name for file in files for name in DECODED_TYPE.findall(file.read_text("utf-8"))}
    assert len(decoded) > 20
    assert not decoded - names


def test_every_method_has_a_role():
    roles_text = " ".join(message_types.MODULES_BY_ROLE)
    assert not [name for name in message_types.method_names() if name not in roles_text]


class TestFindLost:
    def test_a_renamed_field_is_lost(self):
        assert find_lost({"a": 1}, {"b": 1}, is_full=True) == [".a"]

    def test_a_new_field_loses_nothing(self):
        assert find_lost({"a": [{"x": 1}]}, {"a": [{"x": 1, "y": 2}], "b": 1}, is_full=True) == []

    def test_a_field_with_another_value_is_lost(self):
        assert find_lost({"a": [0.5]}, {"a": [0]}, is_full=False) == [".a[0]: 0.5 is 0"]

    def test_an_item_that_is_left_out_is_lost(self):
        assert find_lost([1, 2], [1], is_full=False) == ["[1]"]


# --- the earlier builds themselves -----------------------------------------------------


@pytest.fixture(scope="module")
def builds(tmp_path_factory):
    """Return earlier builds by commit; skips the test without the repository's history."""
    folder = tmp_path_factory.mktemp("builds")
    try:
        return {commit: extract_build(commit, folder) for file in PIN_FILES for commit in Pins(file).builds}
    except (BuildUnavailable, FileNotFoundError) as error:
        pytest.skip(f"no history, so only the files of build_messages are checked: {error}")


def run_script(build, *arguments, text=""):
    environment = os.environ | {"PYTHONPATH": f"{build.folder}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-P", "-m", "tests.message_types", *arguments]
    run = subprocess.run(
        command, cwd=build.folder, env=environment, input=text, capture_output=True, text=True, check=True
    )
    return run.stdout.splitlines()


def test_the_pinned_lines_are_those_of_the_builds(pins, builds):
    for commit in pins.builds:
        assert run_script(builds[commit], "folder") == [str(builds[commit].folder)]
        assert run_script(builds[commit], "pin") == pins.lines


def test_the_builds_themselves_understand_the_messages(pins, builds):
    examples = [
        (role, text, is_full)
        for role in message_types.MODULES_BY_ROLE
        for text, is_full in message_types.encoded_examples(role)
    ]
    lines = "\n".join(f"{role}\t{text}" for role, text, _ in examples)
    for commit in pins.builds:
        understood = run_script(builds[commit], "decode", text=lines)
        assert len(understood) == len(examples)
        for (role, text, is_full), answer in zip(examples, understood, strict=True):
            assert not answer.startswith("!"), f"{commit} {role}: {answer}: {text}"
            assert not find_lost(json.loads(answer), json.loads(text), is_full=is_full), (
                f"{commit} {role}: {text}"
            )


def test_the_builds_themselves_unpack_the_messages(pins, builds):
    messages = {
        role: list_examples_of(message_types.message_type(role))[0][0] for role in message_types.PACKED_ROLES
    }
    packed = {role: message_types.pack(role, message) for role, message in messages.items()}
    lines = "\n".join(f"{role}\t{base64.b64encode(data).decode()}" for role, data in packed.items())
    for commit in pins.builds:
        unpacked = run_script(builds[commit], "unpack", text=lines)
        for message, answer in zip(messages.values(), unpacked, strict=True):
            check_unpacked(json.loads(answer), json.loads(msgspec.json.encode(message)))
