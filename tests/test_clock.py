import asyncio

from passgate.clock import run_virtual


def test_task_started_while_a_run_is_cancelled_is_cancelled_too():
    ended = []

    async def clean_up():
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            ended.append("cancelled")
            raise

    async def work():
        try:
            await asyncio.sleep(3600)
        finally:
            asyncio.ensure_future(clean_up())

    async def main():
        asyncio.ensure_future(work())
        await asyncio.sleep(1)

    run_virtual(main())
    assert ended == ["cancelled"]
