"""The leader's tables, and what becomes of claims on them; no I/O, no clock of its own.

The order of things is always the same: a claim is made here, ``ledger`` puts it on record, only then does ``orders``
hand out the launch; the worker's exit is taken in by ``report``, ``ledger`` records it, only then ``orders`` reaps.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from ladderfield.connectivity.authority import Authority
from ladderfield.connectivity.earlier_leaders import EarlierLeaders
from ladderfield.jobs.model import MachineType
from ladderfield.leader.estimates import Estimates
from ladderfield.leader.pages import Pages
from ladderfield.queues.pick import Queues
from ladderfield.queues.work import Claim, Job, Record, task_name
from ladderfield.settings import Settings
from ladderfield.table_sizes import most_entries
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine
from ladderfield.zones.policy import ZonePolicy

log = logging.getLogger(__name__)

SILENT = 2.0  # of report_s: no new work for a machine not heard for so long
# Ratios to the workers' pace.
PAUSE = 0.5  # of report_s: the first pause of a job whose task failed; doubles each time
PAUSE_MOST = 10.0  # of report_s
AVOID = 20.0  # of report_s: how long a job's tasks go elsewhere, if anywhere else is room, once one failed on a machine
BLAME = 2  # different jobs that failed on a machine since its last success make it sick


class LeaderTables:
    """Jobs, machines, teams and queues of one term, and what is yet to be recorded of them."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        before: Mapping[str, float] | None = None,
    ) -> None:
        workers = settings.cluster.workers
        self.settings, self.epoch, self.term_from = settings, epoch, now
        self.report_s, self.lease_s, self.cancel_s = workers.report_s, workers.lease_s, workers.cancel_s
        self.wall_offset = wall - now
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.gone: dict[str, None] = {}  # deleted machines: their late reports count for nothing
        self.teams = Teams(settings.cluster.teams)
        self.queues = Queues()
        self.most_kept = most_entries(settings)  # of deleted machines, and of cancellations heard of
        self.types: dict[str, MachineType] = {}
        self.cancelled_at: dict[str, float] = {}
        self.cancellations_heard: dict[str, float] = {}  # cancellations not seen on record yet, and since when
        # What is to be recorded: claims, ends of tasks, jobs that are complete, and jobs of which nothing is left.
        self.pages = Pages(settings.cluster.state.value_kb)
        self.unrecorded: dict[Claim, None] = {}
        self.unsettled: dict[Job, None] = {}
        self.complete: dict[Job, None] = {}
        self.orphaned: dict[Job, None] = {}  # cancelled with a job that they wait for
        self.clearable_records: dict[Record, None] = {}
        self.changed = True  # something since the last pass could let a task start
        self._attempts = 0
        self.estimates = Estimates(settings, self.wall_offset)
        self.earlier = EarlierLeaders.of(now + grace_s, before or {}, settings.peers, self.wall_offset)
        self.authority: Callable[[], Authority] = self._unlimited_authority
        self.zones = ZonePolicy()
        self.push: Callable[[Machine], None] = lambda machine: None

    def _unlimited_authority(self) -> Authority:
        """What tables without a leader around them may decide: all that earlier leaders leave to them."""
        return Authority(epoch=self.epoch, over=False, earlier_until=self.earlier.until)

    def usable(self, now: float) -> list[Machine]:
        """Machines that may get new work."""
        silence = SILENT * self.report_s
        return [machine for machine in self.machines.values() if machine.usable(now, silence)]

    def claim(self, job: Job, index: int, machine: Machine, helped: str, now: float) -> Claim:
        """Bind a task to a machine under a fresh attempt; the epoch in it keeps it fresh for ever."""
        self._attempts += 1
        claim = Claim(job, index, (self.epoch << 32) + self._attempts, machine.host, machine.about())
        claim.helped = helped
        self.queues.helped(helped, machine.host, 1)
        job.bind(claim)
        self.unrecorded[claim] = None
        machine.take(claim)
        self.zones.on_claim_made(claim, machine)
        self.teams.add(job.spec)
        log.debug("task %s: attempt %d claimed for %s", task_name(claim.task), claim.attempt, machine.host)
        return claim

    def end(self, claim: Claim, done: bool, now: float) -> None:
        """The attempt is surely gone: the claim no longer binds."""
        job = claim.job
        machine = self.machines[claim.host]
        machine.free(claim, now)
        self.zones.on_claim_ended(claim, machine, done, now)
        if claim.helped is not None:
            self.queues.helped(claim.helped, claim.host, -1)
        if claim.share is not None:
            claim.share.held -= job.spec.cpus
        job.release(claim)
        self.unrecorded.pop(claim, None)
        self.pages.ended(claim, done)
        self.teams.add(job.spec, -1)
        self.changed = True
        if done:
            job.finished.add(claim.index)
            job.unsettled.add(claim.index)
            job.ended_at = now
            if job.final is None:
                self.unsettled[job] = None
        elif job.final is None:
            self.queues.put_back(job, claim.index)
        self.see_end(job)

    def stop(self, claim: Claim, why: str, now: float) -> None:
        """Have a claim's task stopped; one whose launch never went out ends here."""
        if claim.stopping is None:
            claim.stopping = why
            machine = self.machines[claim.host]
            if self.unsent(claim, machine):
                self.end(claim, False, now)
            else:
                self.push(machine)

    @staticmethod
    def unsent(claim: Claim, machine: Machine) -> bool:
        """Whether no launch of it is out anywhere, so that it can end here and now."""
        return claim.sent_tenure is None and not claim.inherited and claim.attempt not in machine.unanswered_launches

    def see_end(self, job: Job) -> None:
        """Notice that a job is complete, or that nothing is left of one that is over."""
        if job.final is None:
            if job.complete:
                self.complete[job] = None
        elif job.final_seen and not job.claims and self.jobs.pop(job.uid, None) is not None:
            # While anything of it may run it has to be known, and known to be cancelled; and another record that names
            # it can't come any more.
            log.info("job %s: %s and off all machines", job.uid, job.final)
            self.cancelled_at.pop(job.uid, None)
            for record in job.records:
                record.live.discard(job.uid)
                if not record.live:
                    self.clearable_records[record] = None

    def avoid(self, job: Job, machine: Machine, now: float) -> None:
        """Other machines are tried first. Not for ever: it may be the only one that fits."""
        job.failed_hosts[machine.host] = now + AVOID * self.report_s

    def failed(self, claim: Claim, machine: Machine, now: float) -> None:
        """A task ended in error: retried elsewhere after a pause; who is to blame shows with the next failures."""
        job = claim.job
        job.errors += 1
        self.avoid(job, machine, now)
        if len(job.failed_hosts) >= len(self.usable(now)):
            job.failed_hosts = {machine.host: job.failed_hosts[machine.host]}
        job.not_before = now + min(PAUSE_MOST, PAUSE * 2 ** min(job.errors - 1, 10)) * self.report_s
        # A job that failed on several machines without a success is itself the likely cause.
        if len(job.failed_hosts) <= BLAME or job.done:
            machine.blamed.add(job.uid)
        if len(machine.blamed) >= BLAME and not machine.sick:
            log.warning("machine %s: sick, tasks of %d jobs failed there", machine.host, len(machine.blamed))
            machine.sick = True
            self.queues.withdraw(machine)

    def distrust(self, host: str, epoch: int) -> None:
        """The machine shows an epoch that no leader gave: it has to go."""
        machine = self.machines.get(host)
        if machine is not None and not machine.sick:
            log.warning("machine %s: shows epoch %d, which nobody gave", host, epoch)
            machine.sick = True
            self.queues.withdraw(machine)

    def recalled(self, machine: Machine, now: float) -> None:
        """The cloud takes the machine back: nothing new for it, and what can't finish in time starts elsewhere."""
        self.queues.withdraw(machine)
        self.changed = True
        left = (machine.recall_at or now) - now
        for claim in list(machine.claims.values()):
            spec = claim.job.spec
            ran = now - (claim.running_at if claim.running_at is not None else now)
            if spec.service or spec.checkpoint_s or self.estimates.run_s(claim.job) - ran > left:
                self.stop(claim, "the machine leaves", now)
