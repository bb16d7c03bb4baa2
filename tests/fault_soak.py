"""Fault soak: real daemons as separate processes, faults injected from outside them.

    python -m tests.fault_soak --seconds 120 --seed 7

Daemons of the users' platform run as processes; proxies on loopback delay, reset,
silence or cut their connections one way; signals stop, pause, kill and restart
them; the stand-ins of the log and the replicas misbehave.  Callers check every
promise from what they and the replicas see.  The daemons use the time of day only
in log lines and no storage, so neither is harmed.  Ends with exit code 1 and the
seed when a promise was broken.
"""

import asyncio
import contextlib
import dataclasses
import json
import logging
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import fire

from passgate.clients.calls import HttpCall, SendPolicy
from passgate.daemon.gateway_daemon import make_http_client
from passgate.errors import PassgateError
from tests import platform_stand_ins as stand_ins
from tests.duty_stand_in import DutyEndpoint, DutyFaults
from tests.fault_proxy import FaultProxy
from tests.test_platform_daemon import free_address

DAEMONS = 4
TENANT, OTHER_TENANT = "orchard", "mill"
KEYS = ("key-o1", "key-o2", "key-o3")
"""Keys of the tenant that calls; all but the last may be taken away."""
OTHER_KEY = "key-m1"
UNKNOWN_KEY = "key-x"
MODEL = "m"
PROMISES = frozenset({408, 421, 429, 503})
SETTLE_S = 20.0
REVOKED_S = 4.0
"""Time after which a key that was taken away is refused, with a margin for a busy machine."""
NOT_FOUND_GRACE_S = 2.0
LEAVING_S = 3.5
"""Time after which a leaving replica must get no new request, with a margin for a busy machine."""
ROOT = pathlib.Path(__file__).parent.parent


class DaemonProcess:
    """One daemon as a process with a log proxy of its own."""

    def __init__(self, number, log, folder, log_file, duties):
        self.duties = duties
        self.name = f"d{number}"
        self.front, self.ready = free_address(), free_address()
        self.proxy = FaultProxy(log.address, number)
        self.path = pathlib.Path(folder, f"{self.name}.yaml")
        self.log_file = log_file
        self.process = None
        self.paused = False
        self.harmed_s = 0.0
        """Until when the daemon is not judged by rules with a time bound."""

    async def start(self):
        if not self.proxy.address:
            await self.proxy.start()
        self.path.write_text(
            stand_ins.settings_text(
                self.name,
                self.proxy.address,
                self.front,
                self.ready,
                grace_s=6,
                duties=self.duties.address,
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "passgate.platform",
            cwd=ROOT,
            env=os.environ | {"PASSGATE_BOOT": str(self.path)},
            stdout=self.log_file,
            stderr=self.log_file,
        )

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self, number):
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), 8.0)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None and not self.paused


@dataclasses.dataclass
class JobSeen:
    """What callers know of one job."""

    items: list
    min_version: int
    scored: bool = False
    """Whether its items name scorers."""
    accepted_s: float = 0.0
    promised: bool = True
    """Whether every answer so far promised that it does not run."""
    rows: list = dataclasses.field(default_factory=list)
    ended: bool = False


class Soak:
    """The whole run."""

    def __init__(self, seconds, seed, folder, log_file):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.log_file = log_file
        self.log = stand_ins.LogService().start()
        self.http = make_http_client()
        self.duties = DutyEndpoint(seed).start()
        self.keys = list(KEYS)
        """Keys of the tenant in the newest configuration."""
        self.daemons = [
            DaemonProcess(number, self.log, folder, log_file, self.duties) for number in range(DAEMONS)
        ]
        self.replicas = []
        self.left_s = {}
        self.crashed = []
        self.jobs = {}
        self.safe, self.unsafe = {}, {}
        self.version = 1
        self.config_version = 1
        self.broken = []
        self.counts = {}
        self.number = 0
        self.stopping = False

    def note(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def phase(self, name):
        print(f"{time.monotonic() - self.began_s:8.2f} s: {name}", file=sys.stderr, flush=True)

    def breach(self, what):
        self.broken.append(f"{time.monotonic() - self.began_s:.2f} s: {what}")

    # --- the world ---------------------------------------------------------------

    def add_replica(self, service):
        self.number += 1
        models = {MODEL: self.version} if service == "llm" else {}
        replica = stand_ins.Replica(
            self.log, f"i-{self.number}", service, slots=8, models=models.items(), work_s=0.02
        ).start()
        self.replicas.append(replica)
        return replica

    def configure(self):
        self.config_version += self.random.randint(1, 3)
        routes = [
            stand_ins.safe_route(timeoutMs=1500),
            stand_ins.safe_route(name="once", pathPrefix="/once/", kind="unsafe"),
            stand_ins.batch_route(),
        ]
        tenants = {TENANT: self.keys, OTHER_TENANT: [OTHER_KEY]}
        document = stand_ins.config_document(self.config_version, routes, ["app", "llm"], tenants)
        self.log.put("keyed.op", "config", document)

    def name_version(self):
        self.version += 1
        self.log.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": self.version})

    async def run(self):
        self.began_s = time.monotonic()
        for service in ("app", "app", "app", "llm", "llm", "llm"):
            self.add_replica(service)
        self.configure()
        for daemon in self.daemons:
            await daemon.start()
        await asyncio.sleep(2.5)
        workers = [
            self.call_safe(),
            self.call_unsafe(),
            self.trainer(),
            self.reader(),
            self.weights(),
            self.intruder(),
        ]
        tasks = [asyncio.create_task(worker) for worker in workers]
        await self.faults()
        await self.heal()
        await asyncio.sleep(3.0)
        self.stopping = True
        self.phase("callers end")
        await asyncio.gather(*tasks)
        self.phase("last reads")
        await self.finish()
        self.phase("daemons end")
        for daemon in self.daemons:
            await daemon.end(signal.SIGTERM)
            await daemon.proxy.stop()
        self.judge()

    # --- callers -----------------------------------------------------------------

    async def call(
        self, daemon, method, path, body=None, request_id="x", deadline_ms=2000, key=KEYS[-1], **headers
    ):
        call = HttpCall(
            method=method,
            url=f"http://{daemon.front}{path}",
            body=body,
            headers={
                "Host": "h.example",
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {key}",
                "X-Tenant": OTHER_TENANT,
            }
            | headers,
            send=SendPolicy.ONCE_ON_FRESH_CONNECTION,
            timeout_s=deadline_ms / 1000 + 0.3,
            connect_timeout_s=1.0,
        )
        return await self.http.fetch(call)

    async def call_safe(self):
        while not self.stopping:
            await asyncio.sleep(0.03)
            await self.one_call("/call/x", self.safe)

    async def call_unsafe(self):
        while not self.stopping:
            await asyncio.sleep(0.05)
            await self.one_call("/once/x", self.unsafe)

    async def one_call(self, path, book):
        self.number += 1
        request_id = f"r{self.number}"
        daemon = self.random.choice(self.daemons)
        try:
            answer = await self.call(daemon, "POST", path, request_id.encode(), request_id)
        except PassgateError as error:
            book[request_id] = None
            self.note(f"call {type(error).__name__}")
            return
        book[request_id] = answer.status
        self.note(f"call {answer.status}")
        if answer.status == 200 and answer.body != f"answer of {request_id} {request_id}".encode():
            self.breach(f"wrong answer to {request_id}: {answer.body[:60]!r}")
        if answer.status == 404:
            self.breach(f"{daemon.name} answered 404 to {request_id}")

    async def intruder(self):
        """Another tenant, and somebody with no known key, ask for jobs that are not theirs."""
        while not self.stopping:
            await asyncio.sleep(0.2)
            if not self.jobs:
                continue
            job_id = self.random.choice(list(self.jobs))
            key = self.random.choice([OTHER_KEY, UNKNOWN_KEY])
            method, path = self.random.choice(
                [
                    ("GET", f"/-/lots/{job_id}"),
                    ("GET", f"/-/items/{job_id}?id={self.jobs[job_id].items[0]}"),
                    ("POST", "/call/intruder"),
                ]
            )
            if method == "POST":
                key = UNKNOWN_KEY
            with contextlib.suppress(PassgateError):
                answer = await self.call(
                    self.random.choice(self.daemons),
                    method,
                    path,
                    b"" if method == "POST" else None,
                    request_id="intruder",
                    key=key,
                )
                self.note(f"intruder {answer.status}")
                if answer.status == 200:
                    self.breach(f"{method} {path} was answered to the key {key}")

    async def trainer(self):
        while not self.stopping:
            self.number += 1
            job_id = f"job{self.number}"
            items = [f"{job_id}-{index}" for index in range(self.random.randint(3, 12))]
            self.jobs[job_id] = JobSeen(
                items=items, min_version=max(self.version - 1, 1), scored=self.random.random() < 0.6
            )
            await self.submit(job_id)
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            if self.random.random() < 0.2:
                await self.end_job(job_id)

    async def submit(self, job_id):
        job = self.jobs[job_id]
        body = stand_ins.job_body(job.items, model=MODEL, min_version=job.min_version, scored=job.scored)
        for _ in range(6):
            daemon = self.random.choice(self.daemons)
            try:
                answer = await self.call(daemon, "POST", "/stream/j", body, job_id)
            except PassgateError:
                job.promised = False
                continue
            self.note(f"job {answer.status}")
            if answer.status == 202:
                job.accepted_s = time.monotonic()
                return
            if answer.status not in PROMISES:
                job.promised = False
            await asyncio.sleep(0.2)

    async def end_job(self, job_id):
        with contextlib.suppress(PassgateError):
            answer = await self.call(self.random.choice(self.daemons), "DELETE", f"/-/lots/{job_id}")
            if answer.status == 200:
                self.jobs[job_id].ended = True

    async def reader(self):
        while not self.stopping:
            await asyncio.sleep(0.05)
            accepted = [job_id for job_id, job in self.jobs.items() if job.accepted_s]
            if accepted:
                job_id = self.random.choice(accepted[-8:])
                with contextlib.suppress(PassgateError):
                    await self.read(self.random.choice(self.daemons), job_id)

    async def read(self, daemon, job_id):
        job = self.jobs[job_id]
        after = self.random.randint(0, len(job.rows))
        began_s = time.monotonic()
        answer = await self.call(daemon, "GET", f"/-/lots/{job_id}?afterRev={after}", **{"X-Wait-Ms": "200"})
        if answer.status == 404 and began_s - job.accepted_s > NOT_FOUND_GRACE_S:
            self.breach(f"{daemon.name} does not know {job_id}")
        if answer.status == 200:
            self.take_rows(job_id, after, json.loads(answer.body))

    def take_rows(self, job_id, after, page):
        job = self.jobs[job_id]
        if page["total"] != len(job.items):
            self.breach(f"{job_id}: total {page['total']}")
        for index, row in enumerate(page["results"], after):
            if index < len(job.rows):
                if job.rows[index] != row:
                    self.breach(f"{job_id}: position {index} changed")
            elif index == len(job.rows):
                job.rows.append(row)
                self.check_row(job_id, row)

    def check_row(self, job_id, row):
        job = self.jobs[job_id]
        if row["id"] not in job.items or [r["id"] for r in job.rows].count(row["id"]) > 1:
            self.breach(f"{job_id}: {row['id']} is listed twice or not of this job")
        if row["state"] != "succeeded":
            self.breach(f"{job_id}: {row['id']} is {row['state']}")
        elif row["text"] != stand_ins.whole_text(row["id"]):
            self.breach(f"{job_id}: {row['id']} is not whole")
        if row["versions"] and min(row["versions"]) < job.min_version:
            self.breach(f"{job_id}: {row['id']} was made by version {min(row['versions'])}")
        if ("score" in row) != (job.scored and row["state"] == "succeeded"):
            self.breach(f"{job_id}: {row['id']} has {'a' if 'score' in row else 'no'} score")

    async def weights(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(2.0, 5.0))
            self.name_version()

    # --- faults ------------------------------------------------------------------

    async def faults(self):
        kinds = [
            self.kill_daemon,
            self.pause_daemon,
            self.stop_daemon,
            self.hang_up,
            self.cut_daemon,
            self.harm_log,
            self.harm_replica,
            self.replace_replica,
            self.change_configuration,
            self.kill_all,
            self.revoke_key,
            self.harm_duties,
        ]
        weights = [3, 3, 3, 1, 4, 4, 5, 2, 2, 1, 2, 2]
        until_s = time.monotonic() + self.seconds
        while time.monotonic() < until_s:
            (fault,) = self.random.choices(kinds, weights)
            self.note(f"fault {fault.__name__}")
            self.phase(fault.__name__)
            await fault()
            await asyncio.sleep(self.random.uniform(0.1, 1.5))

    def some_daemon(self):
        return self.random.choice(self.daemons)

    async def kill_daemon(self):
        daemon = self.some_daemon()
        await daemon.end(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await daemon.start()

    async def kill_all(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            await daemon.process.wait()
            await daemon.start()

    async def pause_daemon(self):
        daemon = self.some_daemon()
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        daemon.signal(signal.SIGCONT)

    async def stop_daemon(self):
        daemon = self.some_daemon()
        await daemon.end(signal.SIGTERM)
        if daemon.process.returncode != 0:
            self.breach(f"{daemon.name} ended with {daemon.process.returncode} after SIGTERM")
        await daemon.start()

    async def hang_up(self):
        self.some_daemon().signal(signal.SIGHUP)

    async def cut_daemon(self):
        proxy = self.some_daemon().proxy
        match self.random.choice(["delay", "reset", "up", "down", "refuse"]):
            case "delay":
                proxy.delay_s = self.random.uniform(0.02, 0.3)
            case "reset":
                proxy.reset_all()
            case "up":
                proxy.silent_up = True
            case "down":
                proxy.silent_down = True
            case "refuse":
                proxy.refusing = True
                proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        proxy.heal()

    async def harm_log(self):
        faults = self.log.faults
        match self.random.choice(["refuse", "throttle", "silent", "lost", "slow"]):
            case "refuse":
                faults.refusing = True
            case "throttle":
                faults.throttling = True
            case "silent":
                faults.silent = True
            case "lost":
                faults.lost_appends, faults.late_s = 0.4, self.random.uniform(0.0, 3.0)
            case "slow":
                faults.slow_s = self.random.uniform(0.05, 0.3)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        self.log.faults = stand_ins.LogServiceFaults()

    async def harm_replica(self):
        replica = self.random.choice(self.replicas)
        match self.random.choice(["dark", "refuse", "break", "lost", "slow", "wrong"]):
            case "dark":
                replica.faults.dark = True
            case "refuse":
                replica.faults.refusing = True
            case "break":
                replica.faults.break_after = self.random.randint(0, 3)
            case "lost":
                replica.faults.lost_answers = 0.2
            case "slow":
                replica.faults.slow = self.random.uniform(2, 8)
            case "wrong":
                replica.faults.wrong_id = True
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        replica.faults = stand_ins.ReplicaFaults()

    async def replace_replica(self):
        old = self.random.choice(self.replicas)
        self.add_replica(old.service)
        self.replicas.remove(old)
        if self.random.random() < 0.4:
            await old.crash()
            self.crashed.append(old)
            return
        old.draining = True
        old.tell()
        self.left_s[old.replica_id] = (old, time.monotonic())
        await asyncio.sleep(2.0)

    async def change_configuration(self):
        self.configure()

    async def revoke_key(self):
        """Take a key away; each daemon that is not harmed must refuse it in time."""
        if len(self.keys) == 1:
            self.keys = list(KEYS)
            self.configure()
            return
        key = self.keys.pop(0)
        self.configure()
        await asyncio.sleep(REVOKED_S)
        for daemon in self.daemons:
            with contextlib.suppress(PassgateError):
                answer = await self.call(daemon, "POST", "/call/revoked", b"", "revoked", key=key)
                self.note(f"revoked key {answer.status}")
                if answer.status == 200:
                    self.breach(f"{daemon.name} served a key that was taken away {REVOKED_S} s before")

    async def harm_duties(self):
        faults = self.duties.faults
        match self.random.choice(["silent", "busy", "slow"]):
            case "silent":
                faults.silent = 0.5
            case "busy":
                faults.busy = True
            case "slow":
                faults.slow_s = self.random.uniform(0.1, 0.8)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        self.duties.faults = DutyFaults()

    async def heal(self):
        for daemon in self.daemons:
            daemon.proxy.heal()
            daemon.signal(signal.SIGCONT)
        self.log.faults = stand_ins.LogServiceFaults()

    # --- verdict -----------------------------------------------------------------

    async def finish(self):
        """Wait until every accepted job that was not ended is whole at every daemon."""
        until_s = time.monotonic() + SETTLE_S
        for job_id, job in self.jobs.items():
            if not job.accepted_s or job.ended:
                continue
            while len(job.rows) < len(job.items) and time.monotonic() < until_s:
                with contextlib.suppress(PassgateError):
                    await self.read(self.random.choice(self.daemons), job_id)
            if len(job.rows) < len(job.items):
                self.breach(f"{job_id} has {len(job.rows)} of {len(job.items)} results")
        for daemon in self.daemons:
            for job_id, job in self.jobs.items():
                if job.accepted_s:
                    await self.read_all(daemon, job_id, job)

    async def read_all(self, daemon, job_id, job):
        try:
            answer = await self.call(daemon, "GET", f"/-/lots/{job_id}?afterRev=0")
        except PassgateError as error:
            self.breach(f"{daemon.name} can not be read at the end: {error}")
            return
        page = json.loads(answer.body) if answer.status == 200 else {"results": []}
        if page["results"][: len(job.rows)] != job.rows:
            self.breach(f"{daemon.name} lists {job_id} otherwise")

    def judge(self):
        """Check what the replicas saw against what the callers were told."""
        replicas = self.replicas + self.crashed + [replica for replica, _ in self.left_s.values()]
        runs = {}
        for replica in replicas:
            for run in replica.runs:
                runs.setdefault(run.request_id, []).append(run)
        for request_id, status in self.unsafe.items():
            count = len(runs.get(request_id, []))
            if count > 1:
                self.breach(f"{request_id} may run once and ran {count} times")
            if status in PROMISES and count:
                self.breach(f"{request_id} was answered {status} and ran")
        for job_id, job in self.jobs.items():
            ran = [item for item in job.items if item in runs]
            if ran and not job.accepted_s and job.promised:
                self.breach(f"{job_id} was refused each time and ran")
        self.judge_scores(runs)
        self.judge_orders(replicas)
        self.judge_tenants(runs)
        self.broken += self.duties.breaches
        self.note(f"windows reported {len(self.duties.reports)}")

    def judge_tenants(self, runs):
        """Each replica was told the tenant that called, and nothing of its key."""
        for request_id, seen in runs.items():
            for run in seen:
                if run.tenants != [TENANT] or run.credentials:
                    self.breach(f"{request_id} ran for {run.tenants} with {len(run.credentials)} credentials")

    def judge_scores(self, runs):
        """A score is the stamp of the item's own call, begun after a run made its text whole."""
        for job_id, job in self.jobs.items():
            for row in job.rows:
                if "score" in row and not self.is_scored_after_text(row, runs):
                    self.breach(f"{job_id}: {row['id']} has the score {row['score']}")

    def is_scored_after_text(self, row, runs):
        texts = [run.ended_s for run in runs.get(row["id"], []) if run.whole]
        calls = runs.get(stand_ins.reward_id(row["id"]), [])
        mine = [run for run in calls if f"{run.replica_id}.{run.request_id}" == row["score"]]
        return any(run.began_s >= min(texts, default=float("inf")) for run in mine)

    def judge_orders(self, replicas):
        holders = {}
        for replica in replicas:
            for order in replica.orders:
                holders.setdefault(order["fence"], set()).add(order["holder"])
        for fence, names in holders.items():
            if len(names) > 1:
                self.breach(f"fence {fence} was used by {sorted(names)}")


async def play(seconds, seed, folder, log_file):
    """Run a soak; the stand-ins listen on the loop that runs it."""
    soak = Soak(seconds, seed, folder, log_file)
    await soak.run()
    return soak


def main(seconds: int = 60, seed: int = 0) -> None:
    """Run the soak.

    Args:
        seconds: how long faults are injected.
        seed: drives all choices; 0 draws one.
    """
    seed = seed or int(time.time()) % 1_000_000
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder, open("soak.log", "wb") as log_file:
        soak = asyncio.run(play(seconds, seed, folder, log_file))
    print(
        json.dumps(
            {"seed": seed, "counts": soak.counts, "jobs": len(soak.jobs), "broken": soak.broken}, indent=1
        )
    )
    sys.exit(1 if soak.broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
