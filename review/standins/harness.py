"""Runs daemons and replicas as processes on loopback, with a stand-in of the store, and calls them.

The store is the project's own stand-in (:mod:`tests.fake_platform`).  It runs in the process of the case.
"""

import asyncio
import base64
import contextlib
import json
import logging
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from tests import fake_platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 10, 2
"""Exit codes of a case; ``run.sh`` turns BROKEN into 1, as 1 is also that of a Python error."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
MODEL = "daka510000"
ZONES = ("caruaru", "campina", "garanhuns")
ENTRY_LIFETIME_S = 3.6
"""Three heartbeats, after which the store drops the entry of a replica that is silent."""
DEADLINE_MS = 12_000


class SetupFailedError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of the case."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = open(folder / "record.txt", "w", buffering=1, encoding="utf-8")  # noqa: SIM115

    def write(self, text, at_s=None):
        """Write a line; ``at_s`` is a time of the monotonic clock, now by default."""
        at_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{at_s - self.started_s:8.3f} {text}\n")

    def heading(self, text):
        """Write a line without a time."""
        self._file.write(f"\n{text}\n")


def free_port():
    """Return a port of 127.0.0.1 at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{number // len(ZONES) + 1}"
        self.front, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.settings = world.folder / f"{self.name}.yaml"
        self.process = None

    def start(self):
        """Start a process; one that ran before must have ended."""
        self.settings.write_text(self._settings_text(), encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log_file = open(self.world.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["python3", "-m", "passgate.platform"],
            cwd=ROOT,
            env=kept | {"PYTHONPATH": "target/deps", "PASSGATE_BOOT": str(self.settings)},
            stdout=log_file,
            stderr=log_file,
        )

    def _settings_text(self):
        document = {
            "node": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "agreste",
            "zones": dict.fromkeys(ZONES, "agreste"),
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready_port}"},
            "portRange": [self.peer_port, self.peer_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.717, "cores": 3, "memoryMb": 360, "maxFds": 8200},
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "statusS": 120,
                "cancelMs": 3000,
                "settleMs": 1000,
                "fencingEnforced": self.world.fencing_enforced,
                "leaseMs": 3000,
            },
            "platform": {
                "address": self.world.store.address,
                "form": "log",
                "parts": fake_platform.PARTITION_COUNT,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "queueTtlS": 300,
                "ttl_min_ms": 1000,
            },
        }
        return json.dumps(document)  # JSON is YAML

    async def is_ready(self):
        """Return whether the daemon answers its readiness check with 200."""
        try:
            answer = await request(self.ready_port, "GET", "/-/ready", {}, timeout_s=1.0)
        except OSError:
            return False
        return answer.status == 200


class World:
    """The processes of a case; all are ended when the context ends."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = fake_platform.FakeLogService().start()
        self.daemons = []
        self.replicas = {}
        """Process and address of the replicas that run, by identifier."""
        self.ended_s_by_replica = {}
        """Time at which a replica was killed, by its identifier."""
        self.fencing_enforced = True
        self._config_version = 0
        self._tasks = set()

    async def start(self, daemon_count=3, *, fencing_enforced=True):
        """Start the daemons and wait until they are ready and have settled."""
        self.fencing_enforced = fencing_enforced
        self.daemons = [Daemon(self, number) for number in range(daemon_count)]
        for daemon in self.daemons:
            daemon.start()
        deadline_s = time.monotonic() + 30
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline_s or daemon.process.poll() is not None:
                    raise SetupFailedError(f"{daemon.name} did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)  # leadership and the groups of the zones settle
        self.record.write("daemons are ready: " + ", ".join(daemon.name for daemon in self.daemons))

    def publish_config(self, routes, services):
        """Write a configuration, which the store acknowledges at once."""
        self._config_version += 3
        document = fake_platform.config_document(self._config_version, routes, services)
        self.store.put("keyed.op", "config", document)
        self.record.write(f"operator writes configuration {self._config_version}, taken by the store")

    def name_version(self, version, model=MODEL):
        """Name a version of a model, as a trainer does."""
        self.store.put("keyed.op", f"version/{model}", {"model": model, "version": version})
        self.record.write(f"trainer names version {version} of {model}")

    def start_replica(self, service, zone_number=0, **options):
        """Start a replica under a new identifier, which is returned."""
        replica_id = f"i-{secrets.token_hex(4)}"
        options = {
            "id": replica_id,
            "service": service,
            "zone": ZONES[zone_number % len(ZONES)],
            "store": self.store.address,
            "slots": 16,
            "record": str(self.folder / f"{replica_id}.jsonl"),
        } | options
        environment = os.environ | {"PYTHONPATH": f".{os.pathsep}target/deps"}
        self.replicas[replica_id] = subprocess.Popen(
            [sys.executable, "-m", "review.standins.replica", json.dumps(options)], cwd=ROOT, env=environment
        )
        self.record.write(f"replica {replica_id} of {service} is started")
        return replica_id

    async def wait_for_entries(self, replica_ids):
        """Wait until the store lists replicas."""
        deadline_s = time.monotonic() + 20
        while not set(replica_ids) <= self.store.newest_values("keyed.servers").keys():
            if time.monotonic() > deadline_s:
                raise SetupFailedError("a replica did not come up")
            await asyncio.sleep(0.05)

    def crash_replica(self, replica_id):
        """Kill a replica; the store drops its entry after three heartbeats of silence."""
        self.replicas.pop(replica_id).kill()
        self.ended_s_by_replica[replica_id] = time.monotonic()
        self.record.write(f"replica {replica_id} crashes (SIGKILL)")
        self._start_task(self._expire_entry(replica_id))

    async def _expire_entry(self, replica_id):
        await asyncio.sleep(ENTRY_LIFETIME_S)
        self.store.put("keyed.servers", replica_id, None)

    def drain_replica(self, replica_id):
        """Begin the planned end of a replica."""
        self.replicas[replica_id].send_signal(signal.SIGTERM)
        self.record.write(f"replica {replica_id} begins its planned end (draining)")

    def _start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def replica_lines(self):
        """Return the lines of all replicas' records, in order of time."""
        lines = []
        for path in self.folder.glob("*.jsonl"):
            for text in path.read_text(encoding="utf-8").splitlines():
                with contextlib.suppress(json.JSONDecodeError):
                    lines.append(json.loads(text))
        return sorted(lines, key=lambda line: line["t"])

    async def wait_for_lines(self, event, count):
        """Wait until the replicas have recorded a number of lines of an event; return these."""
        deadline_s = time.monotonic() + 10
        while len(found := [line for line in self.replica_lines() if line["event"] == event]) < count:
            if time.monotonic() > deadline_s:
                raise SetupFailedError(f"the replicas did not record {count} lines {event}")
            await asyncio.sleep(0.02)
        return found

    def intervals(self):
        """Return the runs of each request as pairs of begin and end; the end of a run that goes on is None.

        A run ends when its replica has recorded its end, or crashed.
        """
        runs = {}
        for line in self.replica_lines():
            if line["event"] == "run":
                runs.setdefault(line["id"], []).append([line["t"], None, line["by"]])
            elif line["event"] in ("done", "dropped"):
                for run in runs[line["id"]]:
                    if run[2] == line["by"] and run[1] is None:
                        run[1] = line["t"]
        for request_runs in runs.values():
            for run in request_runs:
                ended_s = self.ended_s_by_replica.get(run[2])
                if run[1] is None and ended_s is not None:
                    run[1] = ended_s
        return runs

    def starved_items(self, trainer, until_s, for_s):
        """Return the items that no replica has finished and that were at none for the last ``for_s``."""
        done = {line["id"] for line in self.replica_lines() if line["event"] == "done"}
        intervals = self.intervals()
        return [
            item_id
            for item_id, _ in trainer.items
            if item_id not in done
            and item_id not in trainer.results
            and not any(
                begun_s < until_s and (ended_s is None or ended_s > until_s - for_s)
                for begun_s, ended_s, _ in intervals.get(item_id, ())
            )
        ]

    def count_running(self, at_s):
        """Return the number of runs at replicas at a time."""
        return sum(
            begun_s <= at_s and (ended_s is None or ended_s > at_s)
            for runs in self.intervals().values()
            for begun_s, ended_s, _ in runs
        )

    def replica_with_most_interrupted_items(self):
        """Return the running replica at which most items run that a crash has interrupted before."""
        running = dict.fromkeys(self.replicas, (0, 0))
        for runs in self.intervals().values():
            for _, ended_s, replica_id in runs:
                if ended_s is None and replica_id in running:
                    interrupted, total = running[replica_id]
                    running[replica_id] = (interrupted + len(runs) - 1, total + 1)
        return max(running, key=running.__getitem__)

    def write_replica_lines(self):
        """Append what the replicas recorded to the record."""
        self.record.heading("What the replicas recorded:")
        for line in self.replica_lines():
            text = json.dumps({key: value for key, value in line.items() if key != "t"})
            self.record.write(text, line["t"])

    def unplanned_exits(self, expected=()):
        """Return the names of daemons that have ended although nobody stopped them."""
        return [
            daemon.name
            for daemon in self.daemons
            if daemon.name not in expected and daemon.process.poll() is not None
        ]

    def close(self):
        """End all processes."""
        for process in [*self.replicas.values(), *(daemon.process for daemon in self.daemons)]:
            if process is not None and process.poll() is None:
                process.kill()
            if process is not None:
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.folder.iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


class Answer:
    """Answer to a client, as far as it arrived."""

    def __init__(self, status=0):
        self.status = status
        self.headers = {}
        self.body = b""
        self.complete = False
        self.first_byte_s = self.ended_s = 0.0

    def json(self):
        """Return the body, decoded."""
        return json.loads(self.body)


class Connection:
    """A client's connection, kept for several requests."""

    def __init__(self, port):
        self.port = port
        self._reader = self._writer = None
        self.closed = False

    async def open(self):
        """Open the connection; raises OSError."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def request(self, method, path, headers, body=b"", timeout_s=DEADLINE_MS / 1000):
        """Send a request and return the answer; one that breaks off or is late is not ``complete``."""
        answer = Answer()
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self._writer.drain()
            async with asyncio.timeout(timeout_s):
                await self._read(answer)
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        answer.ended_s = time.monotonic()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer):
        head = await self._reader.readuntil(b"\r\n\r\n")
        answer.first_byte_s = time.monotonic()
        first, *rest = head.decode("latin1").split("\r\n")
        answer.status = int(first.split()[1])
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await self._reader.readexactly(size + 2)
                answer.body += chunk[:-2]
                if not size:
                    break
        else:
            answer.body = await self._reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True

    def close(self):
        """Close the connection."""
        self.closed = True
        if self._writer is not None:
            self._writer.close()


async def request(port, method, path, headers, body=b"", timeout_s=DEADLINE_MS / 1000):
    """Send a request on a new connection; raises OSError if the connection can not be opened."""
    connection = await Connection(port).open()
    try:
        return await connection.request(method, path, {"Host": HOST} | headers, body, timeout_s)
    finally:
        connection.close()


def new_id():
    """Return a new identifier of a request."""
    return secrets.token_hex(8)


def job_body(items, *, min_version, step=1, desired):
    """Return the body of a batch job; ``items`` are pairs of identifier and path, in groups of four."""
    requests = [
        {
            "id": item_id,
            "path": path,
            "headers": {
                "X-Model": MODEL,
                "X-Token-Usage": "271,416",
                "X-Prompt-Prefix": f"9c2e41:255,{item_id[:6]}:16",
            },
            "body": base64.b64encode(f"body of {item_id}".encode()).decode(),
            "tokens": 687,
            "group": f"g{number // 4}",
        }
        for number, (item_id, path) in enumerate(items)
    ]
    document = {
        "step": step,
        "model": MODEL,
        "minVersion": min_version,
        "desired": desired,
        "requests": requests,
    }
    return json.dumps(document).encode()


class Trainer:
    """Submits one batch job and reads its results about twice a second, as the pages say."""

    def __init__(self, world, items, *, path, min_version, desired):
        self.world = world
        self.job_id = new_id()
        self.items = items
        self.path = path
        self.body = job_body(items, min_version=min_version, desired=desired)
        self.results = {}
        self.sent_s = 0.0
        self._position = 0
        self._calls = 0

    def _next_port(self):
        self._calls += 1
        daemons = [daemon for daemon in self.world.daemons if daemon.process.poll() is None]
        return daemons[self._calls % len(daemons)].front

    async def submit(self):
        """Send the job until it is answered 202."""
        self.sent_s = time.monotonic()
        self.world.record.write(f"job {self.job_id} with {len(self.items)} items is sent")
        while time.monotonic() < self.sent_s + 6:
            headers = {"X-Attempt-Id": self.job_id, "Content-Type": "application/json"}
            answer = await request(self._next_port(), "POST", self.path, headers, self.body)
            self.world.record.write(f"job {self.job_id}: {answer.status}")
            if answer.status == 202:
                return
            await asyncio.sleep(0.2)
        raise SetupFailedError("the job was not accepted")

    async def read_until(self, until_s):
        """Read results until all are listed or a time is reached."""
        while time.monotonic() < until_s and len(self.results) < len(self.items):
            path = f"/-/lots/{self.job_id}?afterRev={self._position}"
            answer = await request(self._next_port(), "GET", path, {"X-Wait-Ms": "500"}, timeout_s=2.5)
            if answer.status == 200 and answer.complete:
                page = answer.json()
                self._position = page["nextToken"]
                for result in page["results"]:
                    self.results[result["id"]] = result
                    text = {key: value for key, value in result.items() if key != "text"}
                    self.world.record.write(f"job {self.job_id} lists {json.dumps(text)}")
            await asyncio.sleep(0.2)

    async def end(self, until_s=0.0):
        """End the job at one daemon after the other; return when one answered 200, None if none did."""
        while True:
            answer = await request(
                self._next_port(),
                "DELETE",
                f"/-/lots/{self.job_id}",
                {"X-Deadline-Ms": "4000"},
                timeout_s=5.5,
            )
            self.world.record.write(f"job {self.job_id} is ended: {answer.status or 'no answer'}")
            if answer.status == 200:
                return answer.ended_s
            if time.monotonic() >= until_s:
                return None
            await asyncio.sleep(0.3)


def rollout_route(service, **fields):
    """Return the route of the batch jobs of the sheet of olhar-linha."""
    return {
        "name": "grau-acabamento",
        "host": HOST,
        "pathPrefix": "/grau/",
        "kind": "rollout",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "queueTtlS": 40.0,
        "resultDeadlineMs": 7500,
        "resumable": True,
        "sticky": True,
    } | fields


def run_case(case_file, case):
    """Run a case, a coroutine function of the world that returns whether the rule held; then exit."""
    folder = pathlib.Path(case_file).resolve().parent
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that all processes are ended
    logging.getLogger("tornado").setLevel(logging.CRITICAL)  # handlers of the store that end with the case

    async def play():
        world = World(folder)
        try:
            world.record.write(f"TROUBLE={int(TROUBLE)}")
            async with asyncio.timeout(110):
                held = await case(world)
            world.write_replica_lines()
            return HELD if held else BROKEN
        finally:
            world.close()

    try:
        code = asyncio.run(play())
    except Exception:  # noqa: BLE001  (whatever failed, the case could not run)
        traceback.print_exc()
        code = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)
