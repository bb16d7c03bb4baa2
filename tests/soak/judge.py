"""The verdict of a soak: what replicas saw against what callers were told."""

import contextlib
import json
import time

from passgate.errors import PassgateError
from tests import platform_stand_ins as stand_ins
from tests.soak.callers import PROMISES
from tests.soak.trouble import CONTACT_S
from tests.soak.world import CRASHING_CALLS, TENANT

SETTLE_S = 30.0
MOST_READ = 8
"""Daemons at which all jobs are read at the end; with a hundred, reading all would outlast the jobs."""
EVACUATION_S = 5.0
"""Time after which nothing reaches an evacuated zone any more from a daemon in touch."""
LEAVING_S = 3.5
"""Time after which a leaving replica gets no new request, with a margin for a busy machine."""
CUT_LATE_S = 0.5
"""A connection that a planned stop closes later than this after a request was sent has cut it off."""
CRASHES_SEEN = 3
"""Replicas that have ended under a request when it counts as known."""
MOST_LATE_SENDS = 3
"""Sends of a request that is known to end replicas, by daemons in touch, that break nothing."""


class Judge:
    """Reads everything once more at the end, and compares."""

    def __init__(self, world, callers):
        self.world = world
        self.callers = callers
        self.breach = world.breach

    async def wait_for_results(self):
        """Wait until every accepted job whose end was not asked for is whole, at every daemon."""
        until_s = time.monotonic() + SETTLE_S
        jobs = {job_id: job for job_id, job in self.callers.jobs.items() if job.accepted_s}
        open_ids = [job_id for job_id, job in jobs.items() if not job.end_asked]
        while open_ids and time.monotonic() < until_s:
            for job_id in open_ids:
                with contextlib.suppress(PassgateError):
                    await self.callers.read(self.world.some_daemon(), job_id)
            open_ids = [job_id for job_id in open_ids if not jobs[job_id].is_whole()]
        for job_id in open_ids:
            job = jobs[job_id]
            self.breach(f"{job_id} has {len(job.rows)} of {len(job.expected)} results")
        daemons = self.world.random.sample(self.world.daemons, min(MOST_READ, len(self.world.daemons)))
        for daemon in daemons:
            for job_id, job in jobs.items():
                await self._read_all(daemon, job_id, job)

    async def _read_all(self, daemon, job_id, job):
        try:
            answer = await self.callers.call(daemon, "GET", f"/-/lots/{job_id}?afterRev=0")
        except PassgateError as error:
            self.breach(f"{daemon.name} can not be read at the end: {error}")
            return
        if not job.must_be_kept():
            return
        page = json.loads(answer.body) if answer.status == 200 else {"results": []}
        if page["results"][: len(job.rows)] != job.rows:
            self.breach(f"{daemon.name} lists {job_id} otherwise")

    def judge(self):
        runs = {}
        for replica in self.world.all_replicas():
            for run in replica.runs:
                runs.setdefault(run.request_id, []).append(run)
        self._judge_once(runs)
        self._judge_refused_jobs(runs)
        self._judge_scores(runs)
        self._judge_orders()
        self._judge_tenants(runs)
        self._judge_leaving()
        self._judge_evacuations()
        self._judge_crashes()
        self._judge_cuts(runs)
        self.world.broken += self.world.duties.breaches
        self.world.note(f"windows reported {len(self.world.duties.reports)}")

    def _judge_once(self, runs):
        for request_id, status in self.callers.once.items():
            count = len(runs.get(request_id, []))
            if count > 1:
                self.breach(f"{request_id} may run once and ran {count} times")
            if status in PROMISES and count:
                self.breach(f"{request_id} was answered {status} and ran")

    def _judge_refused_jobs(self, runs):
        for job_id, job in self.callers.jobs.items():
            if not job.accepted_s and job.promised and any(item in runs for item in job.items):
                self.breach(f"{job_id} was refused each time and ran")

    def _judge_tenants(self, runs):
        """Each replica was told the tenant that called, and nothing of its key."""
        for request_id, seen in runs.items():
            for run in seen:
                if run.tenants != [TENANT] or run.credentials:
                    self.breach(f"{request_id} ran for {run.tenants} with {len(run.credentials)} credentials")

    def _judge_scores(self, runs):
        """A score is the stamp of the item's own call, begun after a run made its text whole."""
        for job_id, job in self.callers.jobs.items():
            for row in job.rows:
                if "score" in row and not _is_scored_after_text(row, runs):
                    self.breach(f"{job_id}: {row['id']} has the score {row['score']}")

    def _judge_orders(self):
        holders = {}
        for replica in self.world.all_replicas():
            for order in replica.orders:
                holders.setdefault(order["fence"], set()).add(order["holder"])
        for fence, names in holders.items():
            if len(names) > 1:
                self.breach(f"fence {fence} was used by {sorted(names)}")

    def _judge_leaving(self):
        """Daemons in touch send nothing new to a replica that leaves."""
        for replica in self.world.gone:
            leaving_s = self.world.leaving_s.get(replica.replica_id)
            for run in replica.runs:
                daemon = self.callers.sent_to.get(run.request_id)
                if leaving_s is None or daemon is None or run.began_s < leaving_s + LEAVING_S:
                    continue
                if self.world.trouble.in_touch(daemon, leaving_s, run.began_s):
                    late_s = run.began_s - leaving_s
                    self.breach(
                        f"{daemon} sent {run.request_id} to a replica that left {late_s:.1f} s before"
                    )

    def _judge_evacuations(self):
        """Daemons in touch send nothing to an evacuated zone; items may come from any daemon."""
        for evacuation in self.world.evacuations:
            known_s = evacuation.began_s + EVACUATION_S
            replicas = [r for r in self.world.all_replicas() if r.zone == evacuation.zone]
            late = [run for r in replicas for run in r.runs if known_s < run.began_s < evacuation.ended_s]
            for run in late:
                sender = self.callers.sent_to.get(run.request_id)
                senders = [sender] if sender else [daemon.name for daemon in self.world.daemons]
                if all(self.world.trouble.in_touch(name, known_s, run.began_s) for name in senders):
                    late_s = run.began_s - evacuation.began_s
                    self.breach(f"{run.request_id} reached a zone evacuated {late_s:.1f} s before")

    def _judge_crashes(self):
        """A request that has ended three replicas reaches hardly any more from daemons in touch."""
        for body in CRASHING_CALLS:
            replicas = self.world.all_replicas()
            runs = sorted(
                (run for replica in replicas for run in replica.runs if run.body == body),
                key=lambda run: run.began_s,
            )
            ended_s = sorted(run.ended_s for run in runs if run.crashed)
            self.world.note(f"replicas ended by {body.decode()}: {len(ended_s)}")
            if len(ended_s) < CRASHES_SEEN:
                continue
            known_s = ended_s[CRASHES_SEEN - 1] + CONTACT_S
            late = [run for run in runs if run.began_s > known_s and self._from_in_touch(run)]
            if len(late) > MOST_LATE_SENDS:
                self.breach(f"{body.decode()} had ended {CRASHES_SEEN} replicas and reached {len(late)} more")

    def _from_in_touch(self, run):
        daemon = self.callers.sent_to[run.request_id]
        return self.world.trouble.in_touch(daemon, run.began_s, run.began_s)

    def _judge_cuts(self, runs):
        """Planned work cuts no request off that a replica has begun, or that was sent long before."""
        for cut in self.callers.cut:
            if not self.world.trouble.calm_but_planned(cut.daemon, cut.sent_s, cut.cut_s):
                continue
            if cut.request_id in runs or cut.cut_s - cut.sent_s > CUT_LATE_S:
                self.breach(f"{cut.daemon} cut {cut.request_id} off after {cut.cut_s - cut.sent_s:.2f} s")


def _is_scored_after_text(row, runs):
    texts = [run.ended_s for run in runs.get(row["id"], []) if run.whole]
    calls = runs.get(stand_ins.reward_id(row["id"]), [])
    mine = [run for run in calls if f"{run.replica_id}.{run.request_id}" == row["score"]]
    return any(run.began_s >= min(texts, default=float("inf")) for run in mine)
