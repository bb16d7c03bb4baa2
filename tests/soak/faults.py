"""Faults of a soak: signals, restarts, connection faults and changes by operators."""

import asyncio
import contextlib
import signal
import time

from passgate.errors import PassgateError
from tests import fake_platform
from tests.duty_stand_in import DutyFaults
from tests.soak.processes import SHUTDOWN_GRACE_S
from tests.soak.world import KEYS

REVOCATION_TIME_S = 4.0
"""Time after which a revoked key must be refused, with a margin for a busy machine."""
EVACUATION_DURATION_S = (1.0, 12.0)
"""Range of the duration of an evacuation; daemons have 5 s to apply it."""
FAULT_DURATION_S = (0.5, 4.0)
"""Range of the duration of most faults."""
CUT_DURATION_S = (1.0, 8.0)
"""Range of the duration of each cut of a series."""
SINGLE_RECORDS_MAX_S = 6.0
"""Longest time after a series of cuts for which the log's pages hold a single record."""
GAP_S = (0.1, 1.5)
"""Range of the time between two faults of a lane, or two cuts of a series."""


class Faults:
    """Injects random faults in several lanes, each of which injects one after the other."""

    def __init__(self, world, callers):
        self.world = world
        self.callers = callers
        self.random = world.random
        self.weight_by_fault = {
            self.kill_daemon: 3,
            self.pause_daemon: 3,
            self.stop_daemon: 3,
            self.restart_daemons_in_turn: 1,
            self.reload_settings: 2,
            self.disturb_log_connection: 4,
            self.cut_owner_off_repeatedly: 4,
            self.restart_under_changes: 2,
            self.disturb_log: 4,
            self.disturb_replica: 5,
            self.replace_replica: 2,
            self.corrupt_entries: 2,
            self.change_configuration: 3,
            self.kill_all_daemons: 1,
            self.revoke_key: 2,
            self.evacuate_zone: 2,
            self.disturb_duties: 2,
        }

    async def run(self, seconds, lanes):
        """Inject faults for ``seconds``; a fault that has started is completed."""
        until_s = time.monotonic() + seconds
        await asyncio.gather(*(self._run_lane(until_s) for _ in range(lanes)))

    async def _run_lane(self, until_s):
        while time.monotonic() < until_s:
            (fault,) = self.random.choices(list(self.weight_by_fault), self.weight_by_fault.values())
            self.world.count(f"fault {fault.__name__}")
            self.world.log_phase(fault.__name__)
            await fault()
            await asyncio.sleep(self.random.uniform(*GAP_S))

    def choose_repetitions(self):
        """Return how often an action is repeated in quick succession; mostly once."""
        return self.random.choice([1, 1, 1, 2, 3, 5])

    # --- daemons -----------------------------------------------------------------

    async def kill_daemon(self, daemon=None):
        """Kill a daemon, or a random one, and start it again."""
        daemon = daemon or self.world.random_daemon()
        with self.world.disturbances.record("kill", daemon.name):
            daemon.incarnation.send_signal(signal.SIGKILL)
            await daemon.incarnation.wait_for_exit()
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await daemon.start()

    async def kill_all_daemons(self):
        with self.world.disturbances.record("kill all"):
            for daemon in self.world.daemons:
                daemon.incarnation.send_signal(signal.SIGKILL)
            await asyncio.gather(*(daemon.incarnation.wait_for_exit() for daemon in self.world.daemons))
            await asyncio.gather(*(daemon.start() for daemon in self.world.daemons))

    async def pause_daemon(self):
        daemon = self.world.random_daemon()
        with self.world.disturbances.record("pause", daemon.name):
            incarnation = daemon.incarnation
            incarnation.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
            incarnation.send_signal(signal.SIGCONT)

    async def stop_daemon(self, daemon=None):
        """Shut a daemon, or a random one, down gracefully and start it again.

        SIGTERM may be sent several times, with SIGHUP in between.  If the daemon had started and
        no other fault disturbs it, it must exit with 0 before ``wait_for_exit`` kills it.
        """
        daemon = daemon or self.world.random_daemon()
        with self.world.disturbances.record("stop", daemon.name, planned=True):
            incarnation, was_up = daemon.incarnation, await daemon.accepts_callers()
            started_s = time.monotonic()
            for _ in range(self.choose_repetitions()):
                incarnation.send_signal(signal.SIGTERM)
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
                if self.random.random() < 0.3:
                    incarnation.send_signal(signal.SIGHUP)
            code = await incarnation.wait_for_exit()
            only_planned = self.world.disturbances.had_only_planned_work(
                daemon.name, started_s, time.monotonic()
            )
            if was_up and only_planned and (code != 0 or incarnation.was_killed):
                self.world.report_violation(
                    f"{daemon.name} ended with {code} after SIGTERM (grace {SHUTDOWN_GRACE_S} s)"
                )
            await daemon.start()

    async def restart_daemons_in_turn(self):
        """Restart random daemons one after the other, as many as there are but three at most."""
        for _ in range(min(3, len(self.world.daemons))):
            await self.stop_daemon()

    async def restart_under_changes(self):
        """Restart daemons at overlapping times, while settings and the configuration change in series."""
        actions = [
            self.stop_daemon,
            self.stop_daemon,
            self.reload_settings,
            self.reload_settings,
            self.change_configuration,
            self.change_configuration,
        ]
        async with asyncio.TaskGroup() as group:
            for action in actions:
                group.create_task(self._run_later(action))

    async def _run_later(self, action):
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        await action()

    async def reload_settings(self):
        """Write a daemon's settings again and send SIGHUP, possibly several times."""
        daemon = self.world.random_daemon()
        for _ in range(self.choose_repetitions()):
            daemon.write_settings()
            daemon.incarnation.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def disturb_log_connection(self):
        """Disturb a daemon's connections to the log."""
        daemon = self.world.random_daemon()
        proxy = daemon.proxy
        with self.world.disturbances.record("cut", daemon.name):
            match self.random.choice(["delay", "reset", "up", "down", "refuse"]):
                case "delay":
                    proxy.delay_s = self.random.uniform(0.02, 0.3)
                case "reset":
                    proxy.reset_connections()
                case "up":
                    proxy.drops_to_target = True
                case "down":
                    proxy.drops_from_target = True
                case "refuse":
                    proxy.refuses_connections = True
                    proxy.reset_connections()
            await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
            proxy.heal()

    async def cut_owner_off_repeatedly(self):
        """Cut an owner of jobs off from the log several times, while jobs are submitted and cancelled.

        In some runs, the log answers the daemon's reads with one record at a time once a cut has ended.
        This disturbs no daemon: the time limits hold.
        """
        daemon = self.world.random_job_owner()
        cuts = [
            (self.random.uniform(*CUT_DURATION_S), self.random.uniform(*GAP_S))
            for _ in range(self.random.randint(2, 3))
        ]
        until_s = time.monotonic() + sum(cut_s + pause_s for cut_s, pause_s in cuts)
        jobs = asyncio.create_task(self.callers.submit_and_cancel_jobs(until_s))
        single_records = self.random.random() < 0.5
        for cut_s, pause_s in cuts:
            with self.world.disturbances.record("cut", daemon.name):
                self._cut_off(daemon.proxy)
                if single_records:
                    self.world.log.single_record_clients.add(daemon.log_client_host)
                await asyncio.sleep(cut_s)
                daemon.proxy.heal()
            await asyncio.sleep(pause_s)
        await jobs
        await asyncio.sleep(self.random.uniform(0.0, SINGLE_RECORDS_MAX_S) * single_records)
        self.world.log.single_record_clients.discard(daemon.log_client_host)

    def _cut_off(self, proxy):
        """Cut a proxy's connections in one direction or both, or reset and refuse them."""
        match self.random.choice(["up", "down", "both", "refuse"]):
            case "up":
                proxy.drops_to_target = True
            case "down":
                proxy.drops_from_target = True
            case "both":
                proxy.drops_to_target = proxy.drops_from_target = True
            case "refuse":
                proxy.refuses_connections = True
                proxy.reset_connections()

    # --- external systems --------------------------------------------------------

    async def disturb_log(self):
        with self.world.disturbances.record("log"):
            faults = self.world.log.faults
            match self.random.choice(["refuse", "throttle", "silent", "lost", "slow"]):
                case "refuse":
                    faults.refusing = True
                case "throttle":
                    faults.throttling = True
                case "silent":
                    faults.silent = True
                case "lost":
                    faults.lost_append_share, faults.lost_append_delay_s = 0.4, self.random.uniform(0.0, 3.0)
                case "slow":
                    faults.slow_s = self.random.uniform(0.05, 0.3)
            await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
            self.world.log.faults = fake_platform.LogServiceFaults()

    async def disturb_replica(self):
        replica = self.random.choice(self.world.replicas)
        match self.random.choice(["dark", "refuse", "break", "lost", "slow", "wrong"]):
            case "dark":
                replica.faults.unresponsive = True
            case "refuse":
                replica.faults.refusing = True
            case "break":
                replica.faults.break_after_events = self.random.randint(0, 3)
            case "lost":
                replica.faults.lost_response_probability = 0.2
            case "slow":
                replica.faults.slowdown_factor = self.random.uniform(2, 8)
            case "wrong":
                replica.faults.wrong_attempt_id = True
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        replica.faults = fake_platform.ReplicaFaults()

    async def replace_replica(self):
        """Add a replica and crash or drain an old one of the same service."""
        old = self.random.choice(self.world.replicas)
        self.world.add_replica(old.service, old.zone)
        self.world.remove_replica(old)
        if self.random.random() < 0.4:
            await old.stop_without_drain()
            return
        old.draining = True
        old.write_entry()
        self.world.leaving_s_by_replica[old.replica_id] = time.monotonic()
        await asyncio.sleep(2.0)

    async def corrupt_entries(self):
        """Write invalid discovery entries: one under a new key, one over that of a replica."""
        replica = self.random.choice(self.world.replicas)
        corrupt_data = self.random.choice(
            [b"\xff\x00", b"[]", b'{"service":"app"}', b'{"state":"ready","slots":[]}']
        )
        for key in (replica.replica_id, f"other-{self.world.next_number()}"):
            self.world.log.put_bytes("keyed.servers", key, corrupt_data)
        await asyncio.sleep(self.random.uniform(*GAP_S))
        if replica in self.world.replicas:
            replica.write_entry()

    async def change_configuration(self):
        for _ in range(self.choose_repetitions()):
            self.world.publish_configuration()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def revoke_key(self):
        """Revoke a key, which undisturbed daemons must then refuse; publish all keys if one is left."""
        if len(self.world.tenant_keys) == 1:
            self.world.tenant_keys = list(KEYS)
            self.world.publish_configuration()
            return
        key = self.world.tenant_keys.pop(0)
        self.world.publish_configuration()
        revoked_s = time.monotonic()
        await asyncio.sleep(REVOCATION_TIME_S)
        for daemon in self.world.daemons:
            with contextlib.suppress(PassgateError):
                answer = await self.callers.send(daemon, "POST", "/call/revoked", b"", "revoked", key)
                self.world.count(f"revoked key {answer.status}")
                was_undisturbed = self.world.disturbances.was_undisturbed(
                    daemon.name, revoked_s, time.monotonic()
                )
                if answer.status == 200 and was_undisturbed and key not in self.world.tenant_keys:
                    self.world.report_violation(
                        f"{daemon.name} served a key that was taken away {REVOCATION_TIME_S} s before"
                    )

    async def evacuate_zone(self):
        evacuation = self.world.start_evacuation()
        if evacuation is not None:
            await asyncio.sleep(self.random.uniform(*EVACUATION_DURATION_S))
            self.world.end_evacuation(evacuation)

    async def disturb_duties(self):
        faults = self.world.duties.faults
        match self.random.choice(["silent", "busy", "slow"]):
            case "silent":
                faults.silent = 0.5
            case "busy":
                faults.busy = True
            case "slow":
                faults.slow_s = self.random.uniform(0.1, 0.8)
        await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
        self.world.duties.faults = DutyFaults()

    async def end_all(self):
        """End the faults of daemons and log, and start daemons that have exited."""
        for daemon in self.world.daemons:
            daemon.proxy.heal()
            daemon.incarnation.send_signal(signal.SIGCONT)
            await daemon.start()
        self.world.log.single_record_clients.clear()
        self.world.log.faults = fake_platform.LogServiceFaults()
