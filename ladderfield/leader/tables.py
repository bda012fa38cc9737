"""The leader's in-memory state and the life cycle of claims; no I/O, and times are passed in.

The order of steps is fixed. A claim is made here and ``ledger`` records it in the state service; only then does
``Sessions.orders`` send the launch. ``Sessions.report`` processes the task's exit and ``ledger`` records it; only then
does ``Sessions.orders`` reap the task.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from ladderfield.connectivity.authority import Authority
from ladderfield.connectivity.earlier_leaders import EarlierLeaders
from ladderfield.jobs.model import MachineType
from ladderfield.leader.delivery_counts import DeliveryCounts
from ladderfield.leader.estimates import Estimates
from ladderfield.leader.fencing import Fencing
from ladderfield.leader.pages import Pages
from ladderfield.queues.pick import Queues
from ladderfield.queues.work import Claim, Job, Record, task_name
from ladderfield.settings import Settings
from ladderfield.table_sizes import max_table_entries
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine
from ladderfield.zones.policy import ZonePolicy

log = logging.getLogger(__name__)

SILENCE_REPORT_INTERVALS = 2.0  # a machine that has been silent for longer gets no new work
FIRST_BACKOFF_REPORT_INTERVALS = 0.5  # delay of a job's retry after its first failed task; doubles with each failure
MAX_BACKOFF_REPORT_INTERVALS = 10.0
AVOID_MACHINE_REPORT_INTERVALS = 20.0  # how long a job prefers other machines to one on which its task failed
FAULTY_AFTER_JOBS = 2  # different jobs whose tasks failed on a machine since its last success


class LeaderTables:
    """Jobs, machines, teams and queues of one term, and the changes that are not recorded yet."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        earlier_terms: Mapping[str, float] | None = None,
    ) -> None:
        workers = settings.cluster.workers
        self.settings, self.epoch, self.term_from = settings, epoch, now
        self.report_s, self.lease_s, self.cancel_s = workers.report_s, workers.lease_s, workers.cancel_s
        self.wall_offset = wall - now
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.deleted_hosts: dict[str, None] = {}  # their late reports are ignored
        self.teams = Teams(settings.cluster.teams)
        self.queues = Queues()
        self.max_remembered = max_table_entries(settings)  # entries of deleted_hosts and of reported_cancellations
        self.types: dict[str, MachineType] = {}
        self.cancelled_at: dict[str, float] = {}
        self.reported_cancellations: dict[str, float] = {}  # job -> when, until its record is seen
        # To be recorded: claims, ends of tasks, jobs that are complete, and records whose jobs are all over.
        self.pages = Pages(settings.cluster.state.max_record_bytes)
        self.unrecorded_claims: dict[Claim, None] = {}
        self.unrecorded_ends: dict[Job, None] = {}
        self.complete_jobs: dict[Job, None] = {}
        self.cancelled_dependents: dict[Job, None] = {}  # cancelled because a job they need is
        self.clearable_records: dict[Record, None] = {}
        self.changed = True  # since the last pass, in a way that may let a task start
        self._attempts = 0
        self.fencing = Fencing(epoch)
        self.delivery = DeliveryCounts()
        self.estimates = Estimates(settings, self.wall_offset)
        self.earlier = EarlierLeaders.from_record(now + grace_s, earlier_terms or {}, settings.peers, self.wall_offset)
        self.authority: Callable[[], Authority] = self._default_authority
        self.zones = ZonePolicy()
        self.push: Callable[[Machine], None] = lambda machine: None

    def _default_authority(self) -> Authority:
        """The authority until a ``Leader`` sets its own: limited only by earlier leaders that may still answer."""
        return Authority(epoch=self.epoch, over=False, earlier_until=self.earlier.until)

    def usable(self, now: float) -> list[Machine]:
        """Machines that may get new work."""
        max_silence_s = SILENCE_REPORT_INTERVALS * self.report_s
        return [machine for machine in self.machines.values() if machine.usable(now, max_silence_s)]

    def claim(self, job: Job, index: int, machine: Machine, helped: str, now: float) -> Claim:
        """Bind a task to a machine under a new attempt number, which is unique as it contains the epoch."""
        self._attempts += 1
        claim = Claim(job, index, (self.epoch << 32) + self._attempts, machine.host, machine.host_record())
        claim.helped = helped
        self.queues.helped(helped, machine.host, 1)
        job.bind(claim)
        self.unrecorded_claims[claim] = None
        machine.reserve(claim)
        self.zones.on_claim_made(claim, machine)
        self.teams.add(job.spec)
        log.debug("task %s: attempt %d claimed for %s", task_name(claim.task), claim.attempt, machine.host)
        return claim

    def end(self, claim: Claim, done: bool, now: float) -> None:
        """Release a claim whose attempt certainly no longer runs and can no longer start."""
        job = claim.job
        machine = self.machines[claim.host]
        machine.free(claim, now)
        self.zones.on_claim_ended(claim, machine, done, now)
        if claim.helped is not None:
            self.queues.helped(claim.helped, claim.host, -1)
        if claim.share is not None:
            claim.share.used_cpus -= job.spec.cpus
        job.release(claim)
        self.unrecorded_claims.pop(claim, None)
        self.pages.ended(claim, done)
        self.teams.add(job.spec, -1)
        self.changed = True
        if done:
            job.finished.add(claim.index)
            job.unrecorded_done.add(claim.index)
            job.ended_at = now
            if job.final_phase is None:
                self.unrecorded_ends[job] = None
        elif job.final_phase is None:
            self.queues.put_back(job, claim.index)
        self.check_job_end(job)

    def stop(self, claim: Claim, reason: str, now: float) -> None:
        """Request that a claim's task is stopped; a claim without an outstanding launch ends at once."""
        if claim.stop_reason is None:
            claim.stop_reason = reason
            machine = self.machines[claim.host]
            if self.unsent(claim, machine):
                self.end(claim, False, now)
            else:
                self.push(machine)

    @staticmethod
    def unsent(claim: Claim, machine: Machine) -> bool:
        """Whether no launch of the claim is outstanding anywhere, so that the claim can end at once."""
        return not claim.launch.may_be_outstanding and claim.attempt not in machine.pushed_launches

    def check_job_end(self, job: Job) -> None:
        """Note a job that has become complete, and remove a finished or cancelled one that has left all machines."""
        if job.final_phase is None:
            if job.complete:
                self.complete_jobs[job] = None
        elif job.final_visible and not job.claims and self.jobs.pop(job.uid, None) is not None:
            # Only now: a job must stay known, and known to be cancelled, while any task of it may run. No other record
            # that names it can appear once the view has shown its final state.
            log.info("job %s: %s and off all machines", job.uid, job.final_phase)
            self.cancelled_at.pop(job.uid, None)
            for record in job.records:
                record.live_jobs.discard(job.uid)
                if not record.live_jobs:
                    self.clearable_records[record] = None

    def avoid_machine(self, job: Job, machine: Machine, now: float) -> None:
        """Prefer other machines for the job, for a limited time: this may be the only machine that fits."""
        job.failed_hosts[machine.host] = now + AVOID_MACHINE_REPORT_INTERVALS * self.report_s

    def task_failed(self, claim: Claim, machine: Machine, now: float) -> None:
        """Handle a task that exited with an error: it is retried elsewhere after a backoff.

        Whether the job or the machine is at fault shows with further failures.
        """
        job = claim.job
        job.consecutive_errors += 1
        self.avoid_machine(job, machine, now)
        if len(job.failed_hosts) >= len(self.usable(now)):
            job.failed_hosts = {machine.host: job.failed_hosts[machine.host]}
        job.not_before = (
            now
            + min(
                MAX_BACKOFF_REPORT_INTERVALS, FIRST_BACKOFF_REPORT_INTERVALS * 2 ** min(job.consecutive_errors - 1, 10)
            )
            * self.report_s
        )
        # A job that failed on several machines without a success is itself the likely cause.
        # Its failures then don't count against the machine.
        if len(job.failed_hosts) <= FAULTY_AFTER_JOBS or job.done:
            machine.failed_jobs.add(job.uid)
        if len(machine.failed_jobs) >= FAULTY_AFTER_JOBS and not machine.faulty:
            log.warning("machine %s: faulty, tasks of %d jobs failed there", machine.host, len(machine.failed_jobs))
            machine.faulty = True
            self.queues.withdraw(machine)

    def mark_faulty_for_epoch(self, host: str, epoch: int) -> None:
        """Mark a machine as faulty that reports an epoch which no leader can have assigned."""
        machine = self.machines.get(host)
        if machine is not None and not machine.faulty:
            log.warning("machine %s: faulty, reports epoch %d, which no leader assigned", host, epoch)
            machine.faulty = True
            self.queues.withdraw(machine)

    def prepare_for_interruption(self, machine: Machine, now: float) -> None:
        """Handle a spot interruption notice: stop new work there, and restart elsewhere what can't finish in time."""
        self.queues.withdraw(machine)
        self.changed = True
        remaining_s = (machine.interruption_at or now) - now
        for claim in list(machine.claims.values()):
            spec = claim.job.spec
            ran = now - (claim.running_at if claim.running_at is not None else now)
            if spec.service or spec.checkpoint_interval_s or self.estimates.run_s(claim.job) - ran > remaining_s:
                self.stop(claim, "spot interruption", now)
