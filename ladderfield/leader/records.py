"""What is on record, taken into the leader's tables: all of it at a takeover, then each change as it comes."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import CANCELLED, DONE, FINAL, JOB, PAGE, TYPES, JobSpec, jobs_on, parse_types
from ladderfield.leader.pages import HOSTS, Page
from ladderfield.leader.tables import LeaderTables
from ladderfield.leader.waiting import Waiting
from ladderfield.queues.work import Claim, Job, Record, TaskId
from ladderfield.settings import Settings
from ladderfield.view import Change
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.zones.record import ZONES_KEY

log = logging.getLogger(__name__)


class RecordedTables(LeaderTables):
    """The tables, kept in step with the records."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        dependencies: DependencyGraph,
        before: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(settings, epoch, now, wall, grace_s, before)
        self.waiting = Waiting(self, dependencies)

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
            self.see_end(job)
        zones, zones_stamp = data.get(ZONES_KEY) or (None, 0)
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
                claim.page, claim.recorded, claim.inherited = page.number, True, True
                other = claims.get(claim.task)
                if other is None or other.attempt < attempt:
                    claims[claim.task] = claim
                if other is not None:
                    self.pages.mark_dirty(page if other.attempt >= attempt else self.pages.of(other) or page)

    def _inherit(self, claim: Claim, now: float) -> None:
        """A claim that an earlier leader left on record binds: guards against a second start after any change."""
        page = self.pages.of(claim)
        assert page is not None
        page.add_claim(claim)
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
            self.see_end(job)
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
        self.see_end(job)

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
