"""Callers of a soak, which check each answer and record what they received."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.errors import PassgateError
from tests import fake_platform
from tests.soak.reused_connection import AnswerCutOff, ReusedConnection
from tests.soak.world import (
    CRASHING_BODIES,
    HOST,
    KEYS,
    MODEL,
    OTHER_KEY,
    OTHER_TENANT,
    SLOW_CALL,
    UNLUCKY_ITEM_PREFIX,
)

UNKNOWN_KEY = "key-x"
GUARANTEED_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that a request has not run and will not run."""
NOT_FOUND_GRACE_S = 2.0
"""Time after its acceptance in which a daemon may not know a job yet."""
RESULTS_RETAINED_S = 110.0
"""Time for which daemons must return a job's results; by their settings they drop it after 120 s."""
DEADLINE_MS = 2000
REUSED_CONNECTIONS = 8
REST_SHARE = 0.05
"""Share of the requests on reused connections after which the connection rests before it is used again."""
REST_S = (0.5, 5.0)
"""Range of the time of a rest; daemons keep idle connections open longer."""
SLOW_JOB_ITEMS = (40, 90)
"""Range of the number of items of a slow job, some of which wait for a place on a replica."""
SLOW_ITEM_PREFIX = SLOW_CALL.strip("/") + "-"
"""Prefix of the identifiers of items whose output and reward calls are slow."""
UNLUCKY_JOB_SHARE = 0.05
"""Share of the jobs that contain an item whose first runs end with crashes of their replicas."""


@dataclass
class SubmittedJob:
    """A job as its callers know it."""

    items: list
    min_version: int
    scored: bool = False
    """Whether its items name scorers, so that succeeded results have a score."""
    accepted_s: float = 0.0
    """When the job was accepted; 0 if it was not."""
    guaranteed_not_run: bool = True
    """Whether every answer so far guaranteed that the job does not run."""
    results: list = field(default_factory=list)
    """Results that were read so far, in the job's order."""
    cancel_requested: bool = False
    """Whether a cancellation was sent, which may have taken effect."""
    is_cancelled: bool = False
    """Whether a cancellation was confirmed."""
    ended_s: float = float("inf")
    """When its cancellation was confirmed or its last result was read, whichever was first."""

    def must_be_retained(self):
        """Return whether the job is so recent that every daemon must return its results."""
        return time.monotonic() - self.accepted_s < RESULTS_RETAINED_S

    @property
    def request_ids(self):
        """Identifiers of the requests that replicas may receive for the job."""
        return [*self.items, *map(fake_platform.reward_id, self.items)]

    def is_complete(self):
        """Return whether every expected item has a result."""
        result_ids = {result["id"] for result in self.results}
        return result_ids.issuperset(self.items)


@dataclass
class CutOffRequest:
    """A request on a reused connection that ended before its answer was complete."""

    request_id: str
    daemon: str
    sent_s: float
    ended_s: float


class Callers:
    """All callers, and the records of their requests and answers."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.jobs = {}
        self.status_by_request = {}
        """Status by request that may run only once; None without an answer."""
        self.daemon_by_request = {}
        """Name of the daemon that a request was sent to."""
        self.cut_off_requests = []

    def start(self):
        workers = [
            self.send_repeatable_calls(),
            self.send_unrepeatable_calls(),
            self.send_crashing_calls(),
            self.submit_jobs(),
            self.read_jobs(),
            self.change_target_versions(),
            self.send_unauthorized_requests(),
            *(self.reuse_connections(number) for number in range(REUSED_CONNECTIONS)),
        ]
        return [asyncio.create_task(worker) for worker in workers]

    # --- single calls ------------------------------------------------------------

    async def send(self, daemon, method, path, body=None, request_id="x", key=KEYS[-1], **headers):
        call = HttpCall(
            method=method,
            url=f"http://{daemon.caller_address}{path}",
            body=body,
            headers=self.headers(request_id, key) | headers,
            send=SendPolicy.ONCE_ON_FRESH_CONNECTION,
            timeout_s=DEADLINE_MS / 1000 + 0.3,
            connect_timeout_s=1.0,
        )
        return await self.world.http.fetch(call)

    def headers(self, request_id, key=KEYS[-1]):
        return {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
            "X-Tenant": OTHER_TENANT,
        }

    async def send_repeatable_calls(self):
        while not self.world.stopping:
            await asyncio.sleep(0.03)
            await self.send_and_check("/call/x")

    async def send_unrepeatable_calls(self):
        while not self.world.stopping:
            await asyncio.sleep(0.05)
            request_id, status = await self.send_and_check("/once/x")
            self.status_by_request[request_id] = status

    async def send_crashing_calls(self):
        """Send calls that crash replicas; calls with the same body are attempts of one request."""
        while not self.world.stopping:
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            await self.send_and_check("/call/x", body=self.random.choice(CRASHING_BODIES))

    async def send_and_check(self, path, body=None):
        """Send a call to a random daemon and check the answer; return its id and status.

        The status is None without an answer.
        """
        request_id = f"r{self.world.next_number()}"
        daemon = self.world.random_daemon()
        self.daemon_by_request[request_id] = daemon.name
        try:
            answer = await self.send(daemon, "POST", path, body or request_id.encode(), request_id)
        except PassgateError as error:
            self.world.count(f"call {type(error).__name__}")
            return request_id, None
        self.check_answer(daemon, request_id, answer.status, answer.body)
        return request_id, answer.status

    def check_answer(self, daemon, request_id, status, body):
        self.world.count(f"call {status}")
        if status == 200 and body != f"answer of {request_id} {request_id}".encode():
            self.world.report_violation(f"wrong answer to {request_id}: {body[:60]!r}")
        if status == 404:
            self.world.report_violation(f"{daemon.name} answered 404 to {request_id}")

    async def reuse_connections(self, number):
        """Send requests one after the other over a connection until its daemon closes it or exits."""
        while not self.world.stopping:
            daemon = self.world.random_daemon()
            try:
                async with ReusedConnection(daemon.caller_address) as connection:
                    await self.send_over(connection, daemon, "/call/x" + SLOW_CALL * (number % 2))
            except OSError:
                await asyncio.sleep(0.2)

    async def send_over(self, connection, daemon, path):
        """Send requests over a connection until it closes; record a request that was cut off."""
        while not self.world.stopping and connection.is_open:
            request_id = f"k{self.world.next_number()}"
            self.daemon_by_request[request_id] = daemon.name
            sent_s = time.monotonic()
            try:
                status, body = await connection.send(
                    "POST", path, self.headers(request_id), request_id.encode(), DEADLINE_MS / 1000 + 1.0
                )
            except AnswerCutOff:
                self.world.count("kept connection cut")
                self.cut_off_requests.append(CutOffRequest(request_id, daemon.name, sent_s, time.monotonic()))
                return
            self.check_answer(daemon, request_id, status, body)
            await asyncio.sleep(self.random.uniform(*REST_S) if self.random.random() < REST_SHARE else 0.02)

    async def send_unauthorized_requests(self):
        """Send requests with another tenant's key for its jobs, or with an unknown key."""
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
                answer = await self.send(
                    self.world.random_daemon(),
                    method,
                    path,
                    b"" if method == "POST" else None,
                    "intruder",
                    key,
                )
                self.world.count(f"intruder {answer.status}")
                if answer.status == 200:
                    self.world.report_violation(f"{method} {path} was answered to the key {key}")

    # --- jobs --------------------------------------------------------------------

    async def submit_jobs(self):
        while not self.world.stopping:
            job_id = self.add_job(self.random.randint(3, 12))
            await self.submit_job(job_id)
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            if self.random.random() < 0.2:
                await self.cancel_job(job_id)

    async def submit_and_cancel_jobs(self, until_s):
        """Submit slow jobs one after the other, and cancel most of them while they run."""
        async with asyncio.TaskGroup() as cancellations:
            while time.monotonic() < until_s and not self.world.stopping:
                job_id = self.add_job(self.random.randint(*SLOW_JOB_ITEMS), SLOW_ITEM_PREFIX)
                await self.submit_job(job_id)
                if self.random.random() < 0.7:
                    cancellations.create_task(self.cancel_job(job_id, self.random.uniform(0.0, 4.0)))
                await asyncio.sleep(self.random.uniform(1.0, 4.0))

    def add_job(self, item_count, item_prefix=""):
        """Add a job of a number of items and return its identifier."""
        job_id = f"job{self.world.next_number()}"
        items = [f"{item_prefix}{job_id}-{index}" for index in range(item_count)]
        if self.random.random() < UNLUCKY_JOB_SHARE:
            items.append(f"{UNLUCKY_ITEM_PREFIX}-{job_id}")
        self.jobs[job_id] = SubmittedJob(
            items=items,
            min_version=max(self.world.target_version - 1, 1),
            scored=self.random.random() < 0.6,
        )
        return job_id

    async def submit_job(self, job_id):
        """Send a job until it is accepted, up to six times."""
        job = self.jobs[job_id]
        body = fake_platform.job_body(job.items, model=MODEL, min_version=job.min_version, scored=job.scored)
        for _ in range(6):
            try:
                answer = await self.send(self.world.random_daemon(), "POST", "/stream/j", body, job_id)
            except PassgateError:
                job.guaranteed_not_run = False
                continue
            self.world.count(f"job {answer.status}")
            if answer.status == 202:
                job.accepted_s = time.monotonic()
                return
            if answer.status not in GUARANTEED_NOT_RUN_STATUSES:
                job.guaranteed_not_run = False
            await asyncio.sleep(0.2)

    async def cancel_job(self, job_id, delay_s=0.0):
        """Repeat a job's cancellation until it is confirmed; an unconfirmed one may take effect, too."""
        await asyncio.sleep(delay_s)
        job = self.jobs[job_id]
        job.cancel_requested = True
        while not job.is_cancelled and not self.world.stopping:
            with contextlib.suppress(PassgateError):
                answer = await self.send(self.world.random_daemon(), "DELETE", f"/-/lots/{job_id}")
                self.world.count(f"end {answer.status}")
                if answer.status == 200:
                    job.is_cancelled = True
                    self.note_end(job)
                if answer.status == 404 and not job.accepted_s:
                    return
            await asyncio.sleep(0.2)

    async def read_jobs(self):
        while not self.world.stopping:
            await asyncio.sleep(0.05)
            accepted = [job_id for job_id, job in self.jobs.items() if job.accepted_s]
            if accepted:
                with contextlib.suppress(PassgateError):
                    await self.read_results(self.world.random_daemon(), self.random.choice(accepted[-8:]))

    async def read_results(self, daemon, job_id):
        """Read a job's results from a random known position and record them."""
        job = self.jobs[job_id]
        after = self.random.randint(0, len(job.results))
        started_s = time.monotonic()
        answer = await self.send(daemon, "GET", f"/-/lots/{job_id}?afterRev={after}", **{"X-Wait-Ms": "200"})
        if answer.status == 404 and started_s - job.accepted_s > NOT_FOUND_GRACE_S and job.must_be_retained():
            self.world.report_violation(f"{daemon.name} does not know {job_id}")
        if answer.status == 200:
            self.record_results(job_id, after, json.loads(answer.body))

    def record_results(self, job_id, after, page):
        """Add a page that follows position ``after``; results that were read before must be equal."""
        job = self.jobs[job_id]
        if page["total"] != len(job.items):
            self.world.report_violation(f"{job_id}: total {page['total']}")
        for index, result in enumerate(page["results"], after):
            if index < len(job.results):
                if job.results[index] != result:
                    self.world.report_violation(f"{job_id}: position {index} changed")
            elif index == len(job.results):
                job.results.append(result)
                self.check_result(job_id, result)
        if len(job.results) == len(job.items):
            self.note_end(job)

    def note_end(self, job):
        """Note that a job has ended, from which time its items and reward calls must not be sent."""
        job.ended_s = min(job.ended_s, time.monotonic())
        self.world.requests_of_ended_jobs.update(job.request_ids)

    def check_result(self, job_id, result):
        job, report_violation = self.jobs[job_id], self.world.report_violation
        if result["id"] not in job.items or [r["id"] for r in job.results].count(result["id"]) > 1:
            report_violation(f"{job_id}: {result['id']} is listed twice or not of this job")
        if result["state"] != "succeeded":
            report_violation(f"{job_id}: {result['id']} is {result['state']}")
        elif result["text"] != fake_platform.complete_output(result["id"]):
            report_violation(f"{job_id}: {result['id']} is not whole")
        if result["versions"] and min(result["versions"]) < job.min_version:
            report_violation(f"{job_id}: {result['id']} was made by version {min(result['versions'])}")
        if ("score" in result) != (job.scored and result["state"] == "succeeded"):
            report_violation(f"{job_id}: {result['id']} has {'a' if 'score' in result else 'no'} score")

    async def change_target_versions(self):
        """Publish a higher target version of the model every few seconds."""
        while not self.world.stopping:
            await asyncio.sleep(self.random.uniform(2.0, 5.0))
            self.world.publish_target_version()
