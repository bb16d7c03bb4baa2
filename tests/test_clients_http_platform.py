import gzip

import msgspec
import pytest
from tornado.httputil import HTTPHeaders

from passgate.clients.http_call import HttpAnswer
from passgate.clients.http_platform import HttpMachineList
from passgate.clients.wire import MachinesAnswer
from passgate.errors import PlatformError
from passgate.schema import MachineInfo, MachineRole

MACHINE = MachineInfo(machine_id="m1", role=MachineRole.ENGINE, address="127.0.0.1:1", zone="a")
BODY = msgspec.json.encode(MachinesAnswer(machines=(MACHINE,)))


class ScriptedHttp:
    """HTTP client that returns prepared answers and records the calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def fetch(self, call):
        self.calls.append(call)
        return self.answers.pop(0)


def answer(body=b"", status=200, **headers):
    return HttpAnswer(status=status, headers=HTTPHeaders(headers), body=body)


async def test_unchanged_list_is_taken_from_the_cache_and_a_changed_one_is_read():
    empty = msgspec.json.encode(MachinesAnswer(machines=()))
    http = ScriptedHttp(answer(BODY, Etag='"1"'), answer(status=304), answer(empty, Etag='"2"'))
    machines = HttpMachineList(http, "127.0.0.1:1")
    assert await machines.machines() == (MACHINE,)
    assert await machines.machines() == (MACHINE,)
    assert await machines.machines() == ()
    assert [call.headers.get("If-None-Match") for call in http.calls] == [None, '"1"', '"1"']


async def test_list_without_entity_tag_is_read_unconditionally():
    http = ScriptedHttp(answer(BODY), answer(BODY))
    machines = HttpMachineList(http, "127.0.0.1:1")
    await machines.machines()
    assert await machines.machines() == (MACHINE,)
    assert "If-None-Match" not in http.calls[1].headers


async def test_not_modified_answer_to_an_unconditional_read_is_an_error():
    with pytest.raises(PlatformError):
        await HttpMachineList(ScriptedHttp(answer(status=304)), "127.0.0.1:1").machines()


async def test_compressed_list_is_decompressed():
    http = ScriptedHttp(answer(gzip.compress(BODY), **{"Content-Encoding": "gzip"}))
    assert await HttpMachineList(http, "127.0.0.1:1").machines() == (MACHINE,)


@pytest.mark.parametrize("body", [b"not gzip", gzip.compress(BODY)[:-9], b""])
async def test_invalid_or_truncated_gzip_raises_platform_error(body):
    http = ScriptedHttp(answer(body, **{"Content-Encoding": "gzip"}))
    with pytest.raises(PlatformError):
        await HttpMachineList(http, "127.0.0.1:1").machines()
