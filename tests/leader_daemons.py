"""Daemons that take part in the election of the leader, each with faults of its own towards the log."""

import asyncio
import contextlib

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import ANSWER_TIMEOUT_S, MemorySharedLog
from passgate.errors import LogAppendUnknown, LogUnavailable
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import WriterStatus
from passgate.jobs.records import daemon_of, writer_name
from passgate.sharedlog.log import MAX_PAGE_BYTES
from passgate.versions.control_topic import ControlTopic
from passgate.versions.leadership import OrderTerms

CONTROL_TOPIC = "control"
JOURNAL_LIMITS = {"record_bytes": 262_144, "append_bytes": 2_000_000}
LEASE_S = 3.0
OBSERVATION_STEP_S = 0.02


class LeaderStub:
    """The lease of a leader that never loses it."""

    fence = 3

    def may_order(self):
        return True

    @contextlib.contextmanager
    def sending_order(self):
        yield OrderTerms(fence=self.fence, not_sent_after_s=float("inf"))


class FaultyLogClient:
    """A daemon's client of the log, whose reads and appends can fail independently of each other."""

    def __init__(self, client):
        self._client = client
        self.reads_fail = False
        self.appends_fail = False
        self.one_record_a_page = False

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def read(self, topic, part, start, *, wait_s, max_bytes=MAX_PAGE_BYTES):
        if self.reads_fail:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise LogUnavailable("the log did not answer the read")
        page = await self._client.read(topic, part, start, wait_s=wait_s, max_bytes=max_bytes)
        if self.reads_fail:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise LogUnavailable("the log did not answer the read")
        if self.one_record_a_page:
            return msgspec.structs.replace(page, records=page.records[:1])
        return page

    async def append(self, topic, part, records, *, at=None):
        if self.appends_fail:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise LogAppendUnknown("the log did not answer the append")
        return await self._client.append(topic, part, records, at=at)


class FaultyLog(MemorySharedLog):
    """A log whose clients have faults of their own."""

    def __init__(self, seed=0):
        super().__init__(seed)
        self.client_by_name = {}

    def client(self, name):
        return self.client_by_name.setdefault(name, FaultyLogClient(super().client(name)))


class LeaderDaemon:
    """The control topic of one daemon."""

    def __init__(
        self, log, name, projections=(), *, incarnation=0, status_of=lambda writer, last_contact_s: None
    ):
        self.name = name
        self.incarnation = incarnation
        self.log = log.client(name)
        writer = writer_name(name, str(incarnation), f"{name}:7720")
        self.journal = Journal(self.log, CONTROL_TOPIC, 0, writer, **JOURNAL_LIMITS)
        self.events = []
        """Decision events of the daemon."""
        self.decisions = DecisionLog(name, write=len, observe=self.events.append)
        self.may_lead = True
        self.control = ControlTopic(
            self.log,
            CONTROL_TOPIC,
            self.journal,
            lambda: self.may_lead,
            self.decisions,
            lease_s=LEASE_S,
            projections=projections,
            status_of=status_of,
        )
        self.task = asyncio.get_running_loop().create_task(self.control.run())

    @property
    def leadership(self):
        return self.control.leadership

    def cut_off(self, *, is_cut):
        self.log.reads_fail = self.log.appends_fail = is_cut


class LeaderFleet:
    """Daemons on one log, and a record of when each of them could have sent orders."""

    def __init__(self, count=3, seed=0):
        self.log = FaultyLog(seed)
        self.daemons = [
            LeaderDaemon(self.log, f"d{number}", status_of=self._status_of) for number in range(count)
        ]
        self.rivals = []
        """Loop times at which more than one daemon could send orders, with the daemons' names."""
        self.alternations = []
        """Daemons that could order within a lease of their last time, although another could in between."""
        self._last_order_s_by_name = {}
        self._last_to_order = ""
        self._observer = asyncio.get_running_loop().create_task(self._observe())

    def _status_of(self, writer, last_contact_s):
        """Return that a writer was replaced, if its daemon has been started again since."""
        (daemon,) = (daemon for daemon in self.daemons if daemon.name == daemon_of(writer))
        return WriterStatus.ALIVE if daemon.journal.writer == writer else WriterStatus.REPLACED

    def restart(self, daemon):
        """End a daemon's process without a release and start a new one; return the new one."""
        daemon.task.cancel()
        successor = LeaderDaemon(
            self.log, daemon.name, incarnation=daemon.incarnation + 1, status_of=self._status_of
        )
        self.daemons[self.daemons.index(daemon)] = successor
        return successor

    async def _observe(self):
        while True:
            ordering = {daemon.name for daemon in self.daemons if daemon.leadership.may_order()}
            if len(ordering) > 1:
                self.rivals.append((monotonic_s(), sorted(ordering)))
            for name in ordering:
                self._record_order(name, monotonic_s())
            await asyncio.sleep(OBSERVATION_STEP_S)

    def _record_order(self, name, now_s):
        last_s = self._last_order_s_by_name.get(name, float("-inf"))
        if name != self._last_to_order and now_s - last_s < LEASE_S:
            self.alternations.append((name, last_s, now_s))
        self._last_order_s_by_name[name] = now_s
        self._last_to_order = name

    async def leader(self, timeout_s=8.0):
        """Return the daemon that may send orders, once there is one; None if there is none in time."""
        deadline_s = monotonic_s() + timeout_s
        while monotonic_s() < deadline_s:
            for daemon in self.daemons:
                if daemon.leadership.may_order():
                    return daemon
            await asyncio.sleep(OBSERVATION_STEP_S)
        return None
