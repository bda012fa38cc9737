"""The leader's tables and every decision on them; no I/O, no clock of its own.

The order of things is always the same: a claim is made here, ``ledger`` puts it on record, only then does ``orders``
hand out the launch; the worker's exit is taken in by ``report``, ``ledger`` records it, only then ``orders`` reaps.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ladderfield.connectivity.authority import Authority
from ladderfield.connectivity.earlier_leaders import EarlierLeaders
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import (
    CANCELLED,
    DONE,
    FINAL,
    JOB,
    PAGE,
    TYPES,
    JobSpec,
    MachineType,
    jobs_on,
    parse_types,
)
from ladderfield.leader.estimates import Estimates
from ladderfield.leader.failure_detector import SILENT, FailureDetector
from ladderfield.leader.pages import HOSTS, Page, Pages
from ladderfield.leader.preemption import Preemption
from ladderfield.leader.scheduling_pass import SchedulingPass
from ladderfield.leader.sessions import Sessions
from ladderfield.leader.waiting import Waiting
from ladderfield.queues.pick import Queues
from ladderfield.queues.work import Claim, Job, Record, TaskId, task_name
from ladderfield.settings import Settings
from ladderfield.table_sizes import most_entries
from ladderfield.teams import Teams
from ladderfield.view import Change
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.options import ZoneOptions
from ladderfield.zones.policy import ZonePolicy
from ladderfield.zones.record import ZONES

log = logging.getLogger(__name__)

# Ratios to the workers' pace.
PAUSE = 0.5  # of report_s: the first pause of a job whose task failed; doubles each time
PAUSE_MOST = 10.0  # of report_s
AVOID = 20.0  # of report_s: how long a job's tasks go elsewhere, if anywhere else is room, once one failed on a machine
BLAME = 2  # different jobs that failed on a machine since its last success make it sick


class Scheduler:
    """The leader's tables."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        dependencies: DependencyGraph,
        before: Mapping[str, float] | None = None,
        zone_options: ZoneOptions | None = None,
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
        self.waiting = Waiting(self, dependencies)
        self.sessions = Sessions(self)
        self.earlier = EarlierLeaders.of(now + grace_s, before or {}, settings.peers, self.wall_offset)
        self.authority: Callable[[], Authority] = self._unlimited_authority
        self.detector = FailureDetector(self)
        self.preemption = Preemption(self)
        self.passes = SchedulingPass(self)
        self.zones = ZonePolicy() if zone_options is None else ZoneCoordinator(self, zone_options)
        self.push: Callable[[Machine], None] = lambda machine: None

    def _unlimited_authority(self) -> Authority:
        """What tables without a leader around them may decide: all that earlier leaders leave to them."""
        return Authority(epoch=self.epoch, over=False, earlier_until=self.earlier.until)

    # -- what is on record -------------------------------------------------------------------------------------

    def load(self, data: dict[str, tuple[Any, int]], now: float) -> None:
        """Rebuild everything from the state service's keys: a takeover."""
        self.types = parse_types((data.get(TYPES) or (None, 0))[0])
        for key, (value, stamp) in data.items():
            if key.startswith(JOB):
                self._add_jobs(key, value, stamp, now)
        self.jobs = dict(sorted(self.jobs.items(), key=lambda pair: pair[1].at))
        for key, (value, _) in data.items():
            if key.startswith(FINAL):
                self._finalised(key, value, now, loading=True)
        claims: dict[TaskId, Claim] = {}
        for key, (value, stamp) in data.items():
            if key.startswith(PAGE):
                self._load_page(self.pages.load(int(key.removeprefix(PAGE)), stamp), value, claims)
        for claim in claims.values():
            if claim.index not in claim.job.finished:
                self._inherit(claim, now)
        for job in list(self.jobs.values()):
            job.final_seen = job.final is not None
            self._see_end(job)
        zones, zones_stamp = data.get(ZONES) or (None, 0)
        self.zones.load(zones, zones_stamp, now)

    def _load_page(self, page: Page, value: dict[str, Any], claims: dict[TaskId, Claim]) -> None:
        """Ends of tasks at once; of the claims the latest of each task is gathered."""
        hosts = value.get(HOSTS, {})
        for uid, entry in value.items():
            if uid == HOSTS:
                continue
            job = self.jobs.get(uid)
            if job is None or job.final == DONE:
                self.pages.mark_dirty(page)
                continue
            for first, last in entry.get("d", ()):
                page.add_done(job, range(first, last + 1))
                job.finished.update(range(first, last + 1))
            for index, (attempt, host) in entry.get("a", {}).items():
                claim = Claim(job, int(index), attempt, host, hosts[host])
                claim.page, claim.recorded, claim.inherited = page, True, True
                other = claims.get(claim.task)
                if other is None or other.attempt < attempt:
                    claims[claim.task] = claim
                if other is not None:
                    self.pages.mark_dirty(page if other.attempt >= attempt else other.page or page)

    def _inherit(self, claim: Claim, now: float) -> None:
        """A claim that an earlier leader left on record binds: guards against a second start after any change."""
        assert claim.page is not None
        claim.page.add_claim(claim)
        claim.job.bind(claim)
        machine = self.machines.get(claim.host)
        if machine is None:
            zone, endpoint, kind, spot = claim.about
            known = self.types.get(kind, UNKNOWN)
            machine = self.machines[claim.host] = Machine(claim.host, endpoint, known, zone, spot, now)
            self.push(machine)  # it has to hear of our epoch
        machine.take(claim)
        # Guards limit and placement across a change of leader: cancelled or not, it may still run there.
        self.teams.add(claim.job.spec)
        if claim.job.final is not None:
            self.stop(claim, "cancelled", now)

    def _see_end(self, job: Job) -> None:
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

    def _add_jobs(self, key: str, value: Any, stamp: int, now: float) -> None:
        """A record of accepted jobs. One that a job has been on twice is known already."""
        record = Record(key, stamp)
        for uid, entry in jobs_on(key, value).items():
            job = self.jobs.get(uid)
            if job is None:
                spec = msgspec.convert(entry["spec"], JobSpec)
                job = self.jobs[uid] = Job(spec, entry["at"] - self.wall_offset, entry["block"])
                self.estimates.arrived(job)
                self.waiting.tie(job)
                self.changed = True
                if uid in self.cancellations_heard:
                    self._cancel(job, self.cancellations_heard[uid], now)
            if all(one.key != key for one in job.records):
                job.records.append(record)
                record.live.add(uid)

    def _finalised(self, key: str, value: Any, now: float, loading: bool = False) -> None:
        job = self.jobs.get(key.removeprefix(FINAL))
        self.cancellations_heard.pop(key.removeprefix(FINAL), None)
        if not loading:
            self.waiting.ended(key.removeprefix(FINAL), value["phase"], now)
        if job is None:
            return
        job.final_seen = not loading  # its claims are yet to be read then
        if job.final is not None:
            self._see_end(job)
            return
        if value["phase"] == CANCELLED:
            self._cancel(job, value.get("at", self.wall_offset + self.term_from) - self.wall_offset, now)
            return
        for claim in list(job.claims.values()):
            self.stop(claim, "cancelled", now)
        self.finalised(job, value["phase"])

    def _cancel(self, job: Job, since: float, now: float) -> None:
        self.cancelled_at[job.uid] = since
        log.info("job %s: cancelled, stopping %d tasks", job.uid, len(job.claims))
        for claim in list(job.claims.values()):
            self.stop(claim, "cancelled", now)
        self.finalised(job, CANCELLED)

    def cancelled(self, uid: str, since: float, now: float) -> None:
        """Another controller says that it has put the job's cancellation on record.

        It counts like the record, and is remembered until that is seen, as the job itself may be on record unseen too.
        """
        job = self.jobs.get(uid)
        if uid in self.cancellations_heard or self.waiting.dependencies.cancelled(uid):
            return
        if job is not None and job.final is not None:
            return
        self.cancellations_heard[uid] = since
        while len(self.cancellations_heard) > self.most_kept:
            del self.cancellations_heard[next(iter(self.cancellations_heard))]
        if job is not None:
            self._cancel(job, since, now)

    def decided(self, job: Job, phase: str, now: float) -> None:
        """Our own write of the job's final state was answered."""
        self.finalised(job, phase)
        self.waiting.ended(job.uid, phase, now)

    def finalised(self, job: Job, phase: str) -> None:
        """The job's final state is on record; no task of it starts any more."""
        job.final = phase
        self.queues.drop(job, self.machines.values())
        self.complete.pop(job, None)
        self.orphaned.pop(job, None)
        self.unsettled.pop(job, None)
        self.pages.over(job)
        self._see_end(job)

    def take_changes(self, changes: Iterable[Change], now: float) -> None:
        """Changes made by the jobs APIs of all controllers."""
        changes = [change for change in changes if change.value is not None]
        for change in changes:
            # First of all, as a batch that was read anew is not in the order of time: an end must find its job.
            if change.key.startswith(JOB):
                self._add_jobs(change.key, change.value, change.stamp, now)
        for change in changes:
            if change.key.startswith(FINAL):
                self._finalised(change.key, change.value, now)
            elif change.key == TYPES:
                self.types = parse_types(change.value)

    # -- claims ------------------------------------------------------------------------------------------------

    def claim(self, job: Job, index: int, machine: Machine, helped: str, now: float) -> Claim:
        """Bind a task to a machine under a fresh attempt; the epoch in it keeps it fresh for ever."""
        self._attempts += 1
        claim = Claim(job, index, (self.epoch << 32) + self._attempts, machine.host, machine.about())
        claim.helped = helped
        self.queues.helped(helped, machine.host, 1)
        job.bind(claim)
        self.unrecorded[claim] = None
        machine.take(claim)
        self.zones.claimed(claim, machine)
        self.teams.add(job.spec)
        log.debug("task %s: attempt %d claimed for %s", task_name(claim.task), claim.attempt, machine.host)
        return claim

    def end(self, claim: Claim, done: bool, now: float) -> None:
        """The attempt is surely gone: the claim no longer binds."""
        job = claim.job
        machine = self.machines[claim.host]
        machine.free(claim, now)
        self.zones.ended(claim, machine, done, now)
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
        self._see_end(job)

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

    # -- scheduling --------------------------------------------------------------------------------------------

    def usable(self, now: float) -> list[Machine]:
        """Machines that may get new work."""
        silence = SILENT * self.report_s
        return [machine for machine in self.machines.values() if machine.usable(now, silence)]

    def schedule(self, now: float) -> int:
        """Deal, then let free machines pull, in the order of guarantee and rank; the number of claims made."""
        self.changed = False
        made = self.passes.run(now)
        if made:
            self.changed = True  # a job that went over its guarantee with this pass is in a later tier now
        return made

    # -- machines ----------------------------------------------------------------------------------------------

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

    def forget(self, host: str, now: float) -> None:
        """The machine is gone for good: its deletion was answered."""
        self.gone[host] = None
        while len(self.gone) > self.most_kept:
            del self.gone[next(iter(self.gone))]
        machine = self.machines.get(host)
        if machine is None:
            return
        self.queues.withdraw(machine)
        silent = machine.silent_for(now, self.term_from) > SILENT * self.report_s
        # One that had nothing to do was no loss: silent machines are returned first where there is ample room.
        self.zones.forgotten(machine, silent and bool(machine.claims), now)
        for claim in list(machine.claims.values()):
            self.end(claim, False, now)
        del self.machines[host]
        self.changed = True
        log.info("machine %s: deleted", host)

    def sweep(self, now: float) -> list[str]:
        """What time alone decides. Answers the machines that have to be deleted to free what they hold."""
        self.detector.observe(now)
        self.zones.observe(self.detector.zones, now)
        suspect = [machine for machine in self.machines.values() if not self.detector.needs_no_decision(machine, now)]
        for machine in suspect:
            self._check_suspect(machine, now)
        for job in self.jobs.values():
            if job.final is None and job.undealt:
                self.changed = True
            if job.not_before and job.not_before <= now:
                job.not_before = 0.0
                self.changed = True
        return [machine.host for machine in suspect if machine.deleting]

    def _check_suspect(self, machine: Machine, now: float) -> None:
        """End what a machine's lease no longer covers, and give the machine up where that is due."""
        if machine.claims and now > self.detector.lease_over_at(machine):
            log.warning("machine %s: its lease is over, %d claims end", machine.host, len(machine.claims))
            self.queues.withdraw(machine)
            for claim in list(machine.claims.values()):
                self.end(claim, False, now)
        if machine.queue and not machine.usable(now, SILENT * self.report_s):
            self.queues.withdraw(machine)
            self.changed = True
        why = self.detector.reason_to_delete(machine, now)
        if why and not machine.deleting:
            log.warning("machine %s: to be deleted: %s", machine.host, why)
            machine.deleting = True

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
