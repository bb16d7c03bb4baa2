"""Guards against an event of one replica in trouble that disturbs all items of a job."""

import pytest

from tests import fake_platform
from tests.raw_replica import RawReplica
from tests.test_platform_daemon import in_world


@pytest.mark.parametrize(
    "event",
    [
        b"id: 1\ndata: \xff\xfe\n\n",
        b"id: \xc2\xb2\ndata: x\n\n",
        b"id: one\ndata: x\n\n",
        b"id: 1\nx-weight-versions: new\ndata: x\n\n",
        b"id: 1\nx-weight-versions: " + b"9" * 5000 + b"\ndata: x\n\n",
    ],
    ids=["not UTF-8", "superscript number", "no number", "version without a number", "endless number"],
)
def test_an_event_that_can_not_be_read_fails_only_its_attempt(event):
    """Guards against one replica in trouble that ends the runner of a whole job, and with it all its runs."""

    @in_world
    async def scenario(world):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n\r\n"
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        noisy = await RawReplica.replace(world, "i-1", "llm", head + chunk, models={"m": 1}.items())
        world.replica("i-2", "llm", models={"m": 1}.items(), event_s=0.05)
        world.configure(1, fake_platform.batch_route())
        await world.start()
        items = [f"item{number}" for number in range(6)]
        assert (await world.submit(items)).status == 202
        rows = await world.all_results("job1", timeout_s=6.0)
        assert {row["state"] for row in rows} == {"succeeded"}
        assert noisy.connection_count
        runs = [run.request_id for run in world.replicas["i-2"].runs]
        assert sorted(runs) == sorted(items)
        noisy.close()

    scenario()


@pytest.mark.parametrize(
    "header",
    [
        b"X-Weight-Versions: \xb2",
        b"X-Weight-Versions: " + b"9" * 5000,
        b"X-Replica-Load: \xb2,1,8",
        b"X-Replica-Load: " + b"9" * 5000 + b",1,8",
    ],
    ids=["superscript version", "endless version", "superscript load", "endless load"],
)
def test_a_head_with_a_number_that_can_not_be_read_fails_no_job(header):
    """Guards against a malformed header of one replica that ends the runner of a whole job."""

    @in_world
    async def scenario(world):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + header + b"\r\n\r\n5\r\n"
        noisy = await RawReplica.replace(world, "i-1", "llm", head, models={"m": 1}.items())
        good = world.replica("i-2", "llm", models={"m": 1}.items(), event_s=0.05)
        world.configure(1, fake_platform.batch_route())
        await world.start()
        items = [f"item{number}" for number in range(6)]
        assert (await world.submit(items)).status == 202
        rows = await world.all_results("job1", timeout_s=10.0)
        assert {row["state"] for row in rows} == {"succeeded"}
        assert noisy.connection_count
        assert sorted(run.request_id for run in good.runs) == sorted(items)
        noisy.close()

    scenario()
