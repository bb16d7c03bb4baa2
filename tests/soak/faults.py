"""Faults of a soak: signals, restarts and changes that come in series and overlap."""

import asyncio
import contextlib
import signal
import time

from passgate.errors import PassgateError
from tests import platform_stand_ins as stand_ins
from tests.duty_stand_in import DutyFaults
from tests.soak.processes import GRACE_S
from tests.soak.world import KEYS

REVOKED_S = 4.0
"""Time after which a key that was taken away is refused, with a margin for a busy machine."""
EVACUATED_FOR_S = (1.0, 12.0)
"""Time for which a zone is evacuated; daemons have 5 s to learn of it."""
PAUSE_S = (0.5, 4.0)
FEW_S = (0.1, 1.5)


class Faults:
    """Several lanes, each of which plays one fault after the other."""

    def __init__(self, world, callers):
        self.world = world
        self.callers = callers
        self.random = world.random
        self.kinds = {
            self.kill_daemon: 3,
            self.pause_daemon: 3,
            self.stop_daemon: 3,
            self.stop_in_turn: 1,
            self.hang_up: 2,
            self.cut_daemon: 4,
            self.harm_log: 4,
            self.harm_replica: 5,
            self.replace_replica: 2,
            self.spoil_entries: 2,
            self.change_configuration: 3,
            self.kill_all: 1,
            self.revoke_key: 2,
            self.evacuate_zone: 2,
            self.harm_duties: 2,
        }

    async def play(self, seconds, lanes):
        until_s = time.monotonic() + seconds
        await asyncio.gather(*(self._lane(until_s) for _ in range(lanes)))

    async def _lane(self, until_s):
        while time.monotonic() < until_s:
            (fault,) = self.random.choices(list(self.kinds), self.kinds.values())
            self.world.note(f"fault {fault.__name__}")
            self.world.phase(fault.__name__)
            await fault()
            await asyncio.sleep(self.random.uniform(*FEW_S))

    def series(self):
        """Return how often a change is made in quick succession; mostly once."""
        return self.random.choice([1, 1, 1, 2, 3, 5])

    # --- daemons -----------------------------------------------------------------

    async def kill_daemon(self):
        daemon = self.world.some_daemon()
        with self.world.trouble.during("kill", daemon.name):
            daemon.life.signal(signal.SIGKILL)
            await daemon.life.ended()
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await daemon.start()

    async def kill_all(self):
        with self.world.trouble.during("kill all"):
            for daemon in self.world.daemons:
                daemon.life.signal(signal.SIGKILL)
            await asyncio.gather(*(daemon.life.ended() for daemon in self.world.daemons))
            await asyncio.gather(*(daemon.start() for daemon in self.world.daemons))

    async def pause_daemon(self):
        daemon = self.world.some_daemon()
        with self.world.trouble.during("pause", daemon.name):
            life = daemon.life
            life.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            life.signal(signal.SIGCONT)

    async def stop_daemon(self):
        """Stop a daemon as planned; the signal may come several times, with others between."""
        daemon = self.world.some_daemon()
        with self.world.trouble.during("stop", daemon.name, planned=True):
            life, had_come_up = daemon.life, await daemon.accepts_callers()
            began_s = time.monotonic()
            for _ in range(self.series()):
                life.signal(signal.SIGTERM)
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
                if self.random.random() < 0.3:
                    life.signal(signal.SIGHUP)
            code = await life.ended()
            calm = self.world.trouble.calm_but_planned(daemon.name, began_s, time.monotonic())
            if had_come_up and calm and (code != 0 or life.killed):
                self.world.breach(f"{daemon.name} ended with {code} after SIGTERM (grace {GRACE_S} s)")
            await daemon.start()

    async def stop_in_turn(self):
        """Stop and start a few daemons one after the other."""
        for _ in range(min(3, len(self.world.daemons))):
            await self.stop_daemon()

    async def hang_up(self):
        daemon = self.world.some_daemon()
        for _ in range(self.series()):
            daemon.write_settings()
            daemon.life.signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def cut_daemon(self):
        """Harm a daemon's connections to the log."""
        daemon = self.world.some_daemon()
        proxy = daemon.proxy
        with self.world.trouble.during("cut", daemon.name):
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
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            proxy.heal()

    # --- the outside -------------------------------------------------------------

    async def harm_log(self):
        with self.world.trouble.during("log"):
            faults = self.world.log.faults
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
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            self.world.log.faults = stand_ins.LogServiceFaults()

    async def harm_replica(self):
        replica = self.random.choice(self.world.replicas)
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
        old = self.random.choice(self.world.replicas)
        self.world.add_replica(old.service, old.zone)
        self.world.retire(old)
        if self.random.random() < 0.4:
            await old.crash()
            return
        old.draining = True
        old.tell()
        self.world.leaving_s[old.replica_id] = time.monotonic()
        await asyncio.sleep(2.0)

    async def spoil_entries(self):
        """Let another writer put entries beside those of the replicas, and over one of them."""
        replica = self.random.choice(self.world.replicas)
        spoilt = self.random.choice(
            [b"\xff\x00", b"[]", b'{"service":"app"}', b'{"state":"ready","slots":[]}']
        )
        for key in (replica.replica_id, f"other-{self.world.next_number()}"):
            self.world.log.put_bytes("keyed.servers", key, spoilt)
        await asyncio.sleep(self.random.uniform(*FEW_S))
        if replica in self.world.replicas:
            replica.tell()

    async def change_configuration(self):
        for _ in range(self.series()):
            self.world.configure()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def revoke_key(self):
        """Take a key away; each daemon that is in touch must refuse it in time."""
        if len(self.world.keys) == 1:
            self.world.keys = list(KEYS)
            self.world.configure()
            return
        key = self.world.keys.pop(0)
        self.world.configure()
        revoked_s = time.monotonic()
        await asyncio.sleep(REVOKED_S)
        for daemon in self.world.daemons:
            with contextlib.suppress(PassgateError):
                answer = await self.callers.call(daemon, "POST", "/call/revoked", b"", "revoked", key)
                self.world.note(f"revoked key {answer.status}")
                in_touch = self.world.trouble.in_touch(daemon.name, revoked_s, time.monotonic())
                if answer.status == 200 and in_touch and key not in self.world.keys:
                    self.world.breach(f"{daemon.name} served a key that was taken away {REVOKED_S} s before")

    async def evacuate_zone(self):
        evacuation = self.world.evacuate()
        if evacuation is not None:
            await asyncio.sleep(self.random.uniform(*EVACUATED_FOR_S))
            self.world.end_evacuation(evacuation)

    async def harm_duties(self):
        faults = self.world.duties.faults
        match self.random.choice(["silent", "busy", "slow"]):
            case "silent":
                faults.silent = 0.5
            case "busy":
                faults.busy = True
            case "slow":
                faults.slow_s = self.random.uniform(0.1, 0.8)
        await asyncio.sleep(self.random.uniform(*PAUSE_S))
        self.world.duties.faults = DutyFaults()

    async def heal(self):
        for daemon in self.world.daemons:
            daemon.proxy.heal()
            daemon.life.signal(signal.SIGCONT)
            await daemon.start()
        self.world.log.faults = stand_ins.LogServiceFaults()
