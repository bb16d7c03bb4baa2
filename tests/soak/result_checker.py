"""Checks at the end of a soak: compares the runs on replicas with the answers to callers."""

import contextlib
import json
import time

from passgate.errors import PassgateError
from tests import fake_platform
from tests.soak.callers import GUARANTEED_NOT_RUN_STATUSES
from tests.soak.disturbances import RECOVERY_S
from tests.soak.world import CRASHING_BODIES, TENANT

RESULTS_TIMEOUT_S = 30.0
"""Longest wait for the results of all jobs after the callers have stopped."""
MAX_DAEMONS_READ = 8
"""Most daemons at which all jobs are read at the end; more would outlast the jobs' retention."""
EVACUATION_GRACE_S = 5.0
"""Time after which an undisturbed daemon sends nothing to an evacuated zone."""
LEAVING_GRACE_S = 3.5
"""Time after which a leaving replica gets no new request, with a margin for a busy machine."""
LATE_CUT_OFF_S = 0.5
"""A shutdown that closes a connection later than this after a request was sent has cut it off."""
ENDED_JOB_GRACE_S = 3.0
"""Time after the confirmed end of a job in which its items may still reach replicas (users' ``cancelMs``)."""
KNOWN_CRASHES = 3
"""Number of replicas that a request crashed when daemons must recognize it."""
MAX_LATE_SENDS = 3
"""Allowed sends by undisturbed daemons of a request that is known to crash replicas."""


class ResultChecker:
    """Reads all results once more at the end and checks them."""

    def __init__(self, world, callers):
        self.world = world
        self.callers = callers
        self.report_violation = world.report_violation

    async def wait_for_results(self):
        """Wait until accepted jobs that were not cancelled are complete, then read all at several daemons."""
        until_s = time.monotonic() + RESULTS_TIMEOUT_S
        jobs = {job_id: job for job_id, job in self.callers.jobs.items() if job.accepted_s}
        incomplete_ids = [job_id for job_id, job in jobs.items() if not job.cancel_requested]
        while incomplete_ids and time.monotonic() < until_s:
            for job_id in incomplete_ids:
                with contextlib.suppress(PassgateError):
                    await self.callers.read_results(self.world.random_daemon(), job_id)
            incomplete_ids = [job_id for job_id in incomplete_ids if not jobs[job_id].is_complete()]
        for job_id in incomplete_ids:
            job = jobs[job_id]
            self.report_violation(f"{job_id} has {len(job.results)} of {len(job.items)} results")
        daemons = self.world.random.sample(self.world.daemons, min(MAX_DAEMONS_READ, len(self.world.daemons)))
        for daemon in daemons:
            for job_id, job in jobs.items():
                await self._check_results_at(daemon, job_id, job)

    async def _check_results_at(self, daemon, job_id, job):
        try:
            answer = await self.callers.send(daemon, "GET", f"/-/lots/{job_id}?afterRev=0")
        except PassgateError as error:
            self.report_violation(f"{daemon.name} can not be read at the end: {error}")
            return
        if not job.must_be_retained():
            return
        page = json.loads(answer.body) if answer.status == 200 else {"results": []}
        if page["results"][: len(job.results)] != job.results:
            self.report_violation(f"{daemon.name} lists {job_id} otherwise")

    def check_all(self):
        """Check the runs on all replicas."""
        runs = {}
        for replica in self.world.all_replicas():
            for run in replica.runs:
                runs.setdefault(run.request_id, []).append(run)
        self._check_single_runs(runs)
        self._check_refused_jobs(runs)
        self._check_scores(runs)
        self._check_orders()
        self._check_tenants(runs)
        self._check_ended_jobs(runs)
        self._check_leaving_replicas()
        self._check_evacuations()
        self._check_crashes()
        self._check_cut_offs(runs)
        self.world.violations += self.world.duties.breaches
        self.world.count(f"windows reported {len(self.world.duties.reports)}")

    def _check_single_runs(self, runs):
        for request_id, status in self.callers.status_by_request.items():
            count = len(runs.get(request_id, []))
            if count > 1:
                self.report_violation(f"{request_id} may run once and ran {count} times")
            if status in GUARANTEED_NOT_RUN_STATUSES and count:
                self.report_violation(f"{request_id} was answered {status} and ran")

    def _check_refused_jobs(self, runs):
        for job_id, job in self.callers.jobs.items():
            if not job.accepted_s and job.guaranteed_not_run and any(item in runs for item in job.items):
                self.report_violation(f"{job_id} was refused each time and ran")

    def _check_tenants(self, runs):
        """Check that replicas received the tenant of each request, and no credentials."""
        for request_id, runs_of_request in runs.items():
            for run in runs_of_request:
                if run.tenants != [TENANT] or run.credentials:
                    self.report_violation(
                        f"{request_id} ran for {run.tenants} with {len(run.credentials)} credentials"
                    )

    def _check_scores(self, runs):
        """Check that a score is from the item's reward call, started after a run had completed the text."""
        for job_id, job in self.callers.jobs.items():
            for result in job.results:
                if "score" in result and not _is_scored_after_text(result, runs):
                    self.report_violation(f"{job_id}: {result['id']} has the score {result['score']}")

    def _check_orders(self):
        """Check that only one leader sent orders under each fence."""
        leaders_by_fence = {}
        for replica in self.world.all_replicas():
            for order in replica.received_orders:
                leaders_by_fence.setdefault(order["fence"], set()).add(order["holder"])
        for fence, names in leaders_by_fence.items():
            if len(names) > 1:
                self.report_violation(f"fence {fence} was used by {sorted(names)}")

    def _check_ended_jobs(self, runs):
        """Check that undisturbed daemons send no item and no reward call of a job that has ended.

        A daemon must meet the limit ``RECOVERY_S`` after its last disturbance, whether the job ended before,
        in or after that.  If the sender is unknown, the run counts only if no daemon was disturbed.
        """
        for job_id, job in self.callers.jobs.items():
            late_runs = [
                run
                for request_id in job.request_ids
                for run in runs.get(request_id, [])
                if run.received_s > job.ended_s + ENDED_JOB_GRACE_S
            ]
            counted = [run for run in late_runs if self._was_sender_undisturbed(run)]
            if len(late_runs) > len(counted):
                self.world.count("late items of a job, excused")
            if counted:
                senders = sorted({run.sender or "unknown" for run in counted})
                late_s = max(run.received_s for run in counted) - job.ended_s
                self.report_violation(
                    f"{senders} sent {len(counted)} requests of {job_id} up to {late_s:.1f} s after it ended"
                )

    def _was_sender_undisturbed(self, run):
        senders = [run.sender] if run.sender else [daemon.name for daemon in self.world.daemons]
        return all(self._was_undisturbed_at(name, run.received_s) for name in senders)

    def _check_leaving_replicas(self):
        """Check that undisturbed daemons send no new request to a leaving replica."""
        for replica in self.world.removed_replicas:
            leaving_s = self.world.leaving_s_by_replica.get(replica.replica_id)
            for run in replica.runs:
                daemon = self.callers.daemon_by_request.get(run.request_id)
                if leaving_s is None or daemon is None or run.received_s < leaving_s + LEAVING_GRACE_S:
                    continue
                if self.world.disturbances.was_undisturbed(daemon, leaving_s, run.received_s):
                    late_s = run.received_s - leaving_s
                    self.report_violation(
                        f"{daemon} sent {run.request_id} to a replica that left {late_s:.1f} s before"
                    )

    def _check_evacuations(self):
        """Check that undisturbed daemons send nothing to an evacuated zone.

        An item counts only if all daemons were undisturbed, as any of them may have sent it.
        """
        for evacuation in self.world.evacuations:
            known_s = evacuation.started_s + EVACUATION_GRACE_S
            replicas = [r for r in self.world.all_replicas() if r.zone == evacuation.zone]
            late = [run for r in replicas for run in r.runs if known_s < run.received_s < evacuation.ended_s]
            for run in late:
                sender = self.callers.daemon_by_request.get(run.request_id)
                senders = [sender] if sender else [daemon.name for daemon in self.world.daemons]
                if all(
                    self.world.disturbances.was_undisturbed(name, known_s, run.received_s) for name in senders
                ):
                    late_s = run.received_s - evacuation.started_s
                    self.report_violation(f"{run.request_id} reached a zone evacuated {late_s:.1f} s before")

    def _check_crashes(self):
        """Check that undisturbed daemons hardly send a request that crashed ``KNOWN_CRASHES`` replicas."""
        for body in CRASHING_BODIES:
            replicas = self.world.all_replicas()
            runs = sorted(
                (run for replica in replicas for run in replica.runs if run.body == body),
                key=lambda run: run.received_s,
            )
            ended_s = sorted(run.ended_s for run in runs if run.crashed_replica)
            self.world.count(f"replicas ended by {body.decode()}: {len(ended_s)}")
            if len(ended_s) < KNOWN_CRASHES:
                continue
            known_s = ended_s[KNOWN_CRASHES - 1] + RECOVERY_S
            late = [run for run in runs if run.received_s > known_s and self._is_from_undisturbed_daemon(run)]
            if len(late) > MAX_LATE_SENDS:
                self.report_violation(
                    f"{body.decode()} had ended {KNOWN_CRASHES} replicas and reached {len(late)} more"
                )

    def _is_from_undisturbed_daemon(self, run):
        return self._was_undisturbed_at(self.callers.daemon_by_request[run.request_id], run.received_s)

    def _was_undisturbed_at(self, daemon, time_s):
        """Return whether a daemon had no disturbance in the ``RECOVERY_S`` before a time."""
        return self.world.disturbances.was_undisturbed(daemon, time_s, time_s)

    def _check_cut_offs(self, runs):
        """Check that graceful shutdowns cut no request off that had started or was sent long before."""
        for call in self.callers.cut_off_requests:
            if not self.world.disturbances.had_only_planned_work(call.daemon, call.sent_s, call.ended_s):
                continue
            if call.request_id in runs or call.ended_s - call.sent_s > LATE_CUT_OFF_S:
                self.report_violation(
                    f"{call.daemon} cut {call.request_id} off after {call.ended_s - call.sent_s:.2f} s"
                )


def _is_scored_after_text(result, runs):
    text_end_times = [run.ended_s for run in runs.get(result["id"], []) if run.completed]
    calls = runs.get(fake_platform.reward_id(result["id"]), [])
    own_calls = [run for run in calls if f"{run.replica_id}.{run.request_id}" == result["score"]]
    return any(run.started_s >= min(text_end_times, default=float("inf")) for run in own_calls)
