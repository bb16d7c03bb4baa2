"""Callers of a soak: they check each answer, and write down what they were told."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.errors import PassgateError
from tests import platform_stand_ins as stand_ins
from tests.soak.kept_connection import AnswerCut, KeptConnection
from tests.soak.world import (
    CRASHING_CALLS,
    CRASHING_ITEMS,
    KEYS,
    MODEL,
    OTHER_KEY,
    OTHER_TENANT,
    SLOW_CALL,
)

UNKNOWN_KEY = "key-x"
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request did not run and never will."""
NOT_FOUND_GRACE_S = 2.0
KEPT_S = 110.0
"""Time for which a job is judged; the settings let daemons forget it after 120 s."""
DEADLINE_MS = 2000
KEPT_CONNECTIONS = 6
CRASHING_JOB_SHARE = 0.05
"""Share of the jobs that hold an item which ends replicas."""


@dataclass
class JobSeen:
    """What callers know of one job."""

    items: list
    min_version: int
    scored: bool = False
    """Whether its items name scorers."""
    accepted_s: float = 0.0
    promised: bool = True
    """Whether every answer so far promised that it does not run."""
    rows: list = field(default_factory=list)
    end_asked: bool = False
    """Whether its caller has tried to end it, so that it may be ended."""
    ended: bool = False
    """Whether its end was confirmed."""

    def must_be_kept(self):
        """Whether the job is so young that every daemon must tell its results."""
        return time.monotonic() - self.accepted_s < KEPT_S

    @property
    def expected(self):
        """Items that must have a result; one that ends replicas has none for long."""
        return [item for item in self.items if not item.startswith(CRASHING_ITEMS)]

    def is_whole(self):
        listed = {row["id"] for row in self.rows}
        return listed.issuperset(self.expected)


@dataclass
class CutCall:
    """A request on a kept connection that ended without an answer."""

    request_id: str
    daemon: str
    sent_s: float
    cut_s: float


class Callers:
    """All callers, and their books."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.jobs = {}
        self.once = {}
        """Status of each request that may run once; None without an answer."""
        self.sent_to = {}
        """Daemon of each request."""
        self.cut = []

    def start(self):
        workers = [
            self.call_safe(),
            self.call_once(),
            self.call_crashing(),
            self.trainer(),
            self.reader(),
            self.name_versions(),
            self.intruder(),
            *(self.keep_calling(number) for number in range(KEPT_CONNECTIONS)),
        ]
        return [asyncio.create_task(worker) for worker in workers]

    # --- single calls ------------------------------------------------------------

    async def call(self, daemon, method, path, body=None, request_id="x", key=KEYS[-1], **headers):
        call = HttpCall(
            method=method,
            url=f"http://{daemon.front}{path}",
            body=body,
            headers=self.headers(request_id, key) | headers,
            send=SendPolicy.ONCE_ON_FRESH_CONNECTION,
            timeout_s=DEADLINE_MS / 1000 + 0.3,
            connect_timeout_s=1.0,
        )
        return await self.world.http.fetch(call)

    def headers(self, request_id, key=KEYS[-1]):
        return {
            "Host": "h.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
            "X-Tenant": OTHER_TENANT,
        }

    async def call_safe(self):
        while not self.world.stopping:
            await asyncio.sleep(0.03)
            await self.one_call("/call/x")

    async def call_once(self):
        while not self.world.stopping:
            await asyncio.sleep(0.05)
            request_id, status = await self.one_call("/once/x")
            self.once[request_id] = status

    async def call_crashing(self):
        """Send calls that end replicas as several tries, at any daemon."""
        while not self.world.stopping:
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            await self.one_call("/call/x", body=self.random.choice(CRASHING_CALLS))

    async def one_call(self, path, body=None):
        """Return id and status of a call; the status is None without an answer."""
        request_id = f"r{self.world.next_number()}"
        daemon = self.world.some_daemon()
        self.sent_to[request_id] = daemon.name
        try:
            answer = await self.call(daemon, "POST", path, body or request_id.encode(), request_id)
        except PassgateError as error:
            self.world.note(f"call {type(error).__name__}")
            return request_id, None
        self.check_answer(daemon, request_id, answer.status, answer.body)
        return request_id, answer.status

    def check_answer(self, daemon, request_id, status, body):
        self.world.note(f"call {status}")
        if status == 200 and body != f"answer of {request_id} {request_id}".encode():
            self.world.breach(f"wrong answer to {request_id}: {body[:60]!r}")
        if status == 404:
            self.world.breach(f"{daemon.name} answered 404 to {request_id}")

    async def keep_calling(self, number):
        """Use one connection for request after request until its daemon closes it or is gone."""
        while not self.world.stopping:
            daemon = self.world.some_daemon()
            try:
                async with KeptConnection(daemon.front) as connection:
                    await self.use(connection, daemon, "/call/x" + SLOW_CALL * (number % 2))
            except OSError:
                await asyncio.sleep(0.2)

    async def use(self, connection, daemon, path):
        while not self.world.stopping and connection.open:
            request_id = f"k{self.world.next_number()}"
            self.sent_to[request_id] = daemon.name
            sent_s = time.monotonic()
            try:
                status, body = await connection.call(
                    "POST", path, self.headers(request_id), request_id.encode(), DEADLINE_MS / 1000 + 1.0
                )
            except AnswerCut:
                self.world.note("kept connection cut")
                self.cut.append(CutCall(request_id, daemon.name, sent_s, time.monotonic()))
                return
            self.check_answer(daemon, request_id, status, body)
            await asyncio.sleep(0.02)

    async def intruder(self):
        """Another tenant, and somebody with no known key, ask for jobs that are not theirs."""
        while not self.world.stopping:
            await asyncio.sleep(0.2)
            if not self.jobs:
                continue
            job_id = self.random.choice(list(self.jobs))
            key = self.random.choice([OTHER_KEY, UNKNOWN_KEY])
            item_id = self.jobs[job_id].items[0]
            paths = [("GET", f"/-/lots/{job_id}"), ("GET", f"/-/items/{job_id}?id={item_id}")]
            method, path = self.random.choice([*paths, ("POST", "/call/intruder")])
            if method == "POST":
                key = UNKNOWN_KEY
            with contextlib.suppress(PassgateError):
                answer = await self.call(
                    self.world.some_daemon(), method, path, b"" if method == "POST" else None, "intruder", key
                )
                self.world.note(f"intruder {answer.status}")
                if answer.status == 200:
                    self.world.breach(f"{method} {path} was answered to the key {key}")

    # --- jobs --------------------------------------------------------------------

    async def trainer(self):
        while not self.world.stopping:
            job_id = f"job{self.world.next_number()}"
            items = [f"{job_id}-{index}" for index in range(self.random.randint(3, 12))]
            if self.random.random() < CRASHING_JOB_SHARE:
                items.append(f"{CRASHING_ITEMS}-{job_id}")
            self.jobs[job_id] = JobSeen(
                items=items,
                min_version=max(self.world.version - 1, 1),
                scored=self.random.random() < 0.6,
            )
            await self.submit(job_id)
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            if self.random.random() < 0.2:
                await self.end_job(job_id)

    async def submit(self, job_id):
        job = self.jobs[job_id]
        body = stand_ins.job_body(job.items, model=MODEL, min_version=job.min_version, scored=job.scored)
        for _ in range(6):
            try:
                answer = await self.call(self.world.some_daemon(), "POST", "/stream/j", body, job_id)
            except PassgateError:
                job.promised = False
                continue
            self.world.note(f"job {answer.status}")
            if answer.status == 202:
                job.accepted_s = time.monotonic()
                return
            if answer.status not in PROMISES:
                job.promised = False
            await asyncio.sleep(0.2)

    async def end_job(self, job_id):
        """Ask for a job's end until it is confirmed; one that is not may take effect all the same."""
        job = self.jobs[job_id]
        job.end_asked = True
        while not job.ended and not self.world.stopping:
            with contextlib.suppress(PassgateError):
                answer = await self.call(self.world.some_daemon(), "DELETE", f"/-/lots/{job_id}")
                self.world.note(f"end {answer.status}")
                job.ended = answer.status == 200
            await asyncio.sleep(0.2)

    async def reader(self):
        while not self.world.stopping:
            await asyncio.sleep(0.05)
            accepted = [job_id for job_id, job in self.jobs.items() if job.accepted_s]
            if accepted:
                with contextlib.suppress(PassgateError):
                    await self.read(self.world.some_daemon(), self.random.choice(accepted[-8:]))

    async def read(self, daemon, job_id):
        job = self.jobs[job_id]
        after = self.random.randint(0, len(job.rows))
        began_s = time.monotonic()
        answer = await self.call(daemon, "GET", f"/-/lots/{job_id}?afterRev={after}", **{"X-Wait-Ms": "200"})
        if answer.status == 404 and began_s - job.accepted_s > NOT_FOUND_GRACE_S and job.must_be_kept():
            self.world.breach(f"{daemon.name} does not know {job_id}")
        if answer.status == 200:
            self.take_rows(job_id, after, json.loads(answer.body))

    def take_rows(self, job_id, after, page):
        job = self.jobs[job_id]
        if page["total"] != len(job.items):
            self.world.breach(f"{job_id}: total {page['total']}")
        for index, row in enumerate(page["results"], after):
            if index < len(job.rows):
                if job.rows[index] != row:
                    self.world.breach(f"{job_id}: position {index} changed")
            elif index == len(job.rows):
                job.rows.append(row)
                self.check_row(job_id, row)

    def check_row(self, job_id, row):
        job, breach = self.jobs[job_id], self.world.breach
        if row["id"] not in job.items or [r["id"] for r in job.rows].count(row["id"]) > 1:
            breach(f"{job_id}: {row['id']} is listed twice or not of this job")
        if row["id"] not in job.expected:
            return
        if row["state"] != "succeeded":
            breach(f"{job_id}: {row['id']} is {row['state']}")
        elif row["text"] != stand_ins.whole_text(row["id"]):
            breach(f"{job_id}: {row['id']} is not whole")
        if row["versions"] and min(row["versions"]) < job.min_version:
            breach(f"{job_id}: {row['id']} was made by version {min(row['versions'])}")
        if ("score" in row) != (job.scored and row["state"] == "succeeded"):
            breach(f"{job_id}: {row['id']} has {'a' if 'score' in row else 'no'} score")

    async def name_versions(self):
        while not self.world.stopping:
            await asyncio.sleep(self.random.uniform(2.0, 5.0))
            self.world.name_version()
