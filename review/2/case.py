"""A planned stop cuts streams that the daemon accepted on kept connections after it had begun to stop."""

import asyncio
import signal
import time

from review.standins.harness import HOST, MODEL, TROUBLE, Connection, new_id, run_case

SERVICE = "modelos"
CLIENTS = 12
EVENTS, EVENT_MS = 40, 120
PAUSE_S = 0.3
GRACE_S = 8.0
EXCUSED_S = 3.0
"""Requests sent up to this time after SIGTERM are excused if their replica works until late in graceS."""

ROUTE = {
    "name": "parecer",
    "host": HOST,
    "pathPrefix": "/parecer/",
    "kind": "streaming",
    "timeoutMs": 10000,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": SERVICE,
    "maxAttempts": 2,
    "sticky": True,
}


async def call_repeatedly(world, number, daemon, outcomes, stop_at_s):
    """Send one stream after another on one kept connection, until the daemon closes it."""
    await asyncio.sleep(number * (EVENTS * EVENT_MS / 1000) / CLIENTS)
    connection = await Connection(daemon.front).open()
    while not connection.closed and time.monotonic() < stop_at_s:
        request_id = new_id()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "12000",
            "X-Model": MODEL,
            "X-Token-Usage": "271,416",
            "X-Prompt-Prefix": f"9c2e41:255,{request_id[:6]}:16",
        }
        sent_s = time.monotonic()
        world.record.write(f"client {number} sends {request_id} to {daemon.name}")
        answer = await connection.request("POST", f"/parecer/{EVENTS}/{request_id}", headers, b"photo")
        events = answer.body.count(b"\n\n")
        world.record.write(
            f"client {number} gets {request_id}: status {answer.status or 'none'}, {events} of {EVENTS} "
            f"events, {'complete' if answer.complete else 'cut'}, {answer.ended_s - sent_s:.2f} s later"
        )
        outcomes.append((request_id, sent_s, answer))
        await asyncio.sleep(PAUSE_S)


async def case(world):
    """Return whether all requests that are not excused got a complete answer."""
    for zone in range(2):
        world.start_replica(SERVICE, zone, slots=16, event_ms=EVENT_MS, models={MODEL: 1})
    await world.wait_for_entries(world.replicas)
    world.publish_config([ROUTE], [SERVICE])
    await world.start()
    daemon = world.daemons[0]
    outcomes = []
    began_s = time.monotonic()
    term_at_s = began_s + 8.0
    clients = [
        asyncio.create_task(call_repeatedly(world, number, daemon, outcomes, term_at_s + GRACE_S + 1.0))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(term_at_s - time.monotonic())
    term_s = time.monotonic()
    if TROUBLE:
        daemon.process.send_signal(signal.SIGTERM)
        world.record.write(f"{daemon.name} gets SIGTERM")
    await asyncio.gather(*clients)
    runs = {line["id"] for line in world.replica_lines() if line["event"] == "run"}
    lost = [
        request_id
        for request_id, sent_s, answer in outcomes
        if request_id in runs
        and not answer.complete
        and (not TROUBLE or sent_s > term_s + EXCUSED_S)
        and answer.ended_s < sent_s + 10.0
    ]
    world.record.write(f"{len(outcomes)} requests, {len(lost)} of them lost: {lost}")
    return not lost


run_case(__file__, case)
