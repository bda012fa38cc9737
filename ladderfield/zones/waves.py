"""Waves in which work returns to a zone, and which tasks a cold machine there may begin."""

from __future__ import annotations

from collections.abc import Iterable

from ladderfield.jobs.model import RANKS
from ladderfield.queues.pick import settled
from ladderfield.queues.work import Job, Shape
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine
from ladderfield.zones.order import ReturnOrder

PRODUCTION_RANK = RANKS["production"]
FETCHES = 2  # images that a returning machine fetches at the same time


class Return:
    """One zone's return. The first wave is open from the start, as services must not wait for a probation."""

    def __init__(self, zone: str, order: ReturnOrder, wave: int = 0) -> None:
        self.zone, self.order, self.wave = zone, order, min(wave, order.last + 1)

    @property
    def complete(self) -> bool:
        """Whether the last wave, too, needs nothing more."""
        return self.wave > self.order.last

    def opens(self, rank: int) -> bool:
        """Whether jobs of this rank may return."""
        return self.order.wave_of(rank) <= self.wave

    def advance(self, machines: list[Machine], jobs: Iterable[Job], teams: Teams, now: float) -> bool:
        """Open the next wave if the present one runs, or needs nothing more there."""
        if self.complete or self._needs(machines, jobs, teams, now):
            return False
        self.wave += 1
        return True

    def _needs(self, machines: list[Machine], jobs: Iterable[Job], teams: Teams, now: float) -> bool:
        """Whether a task of the present wave is being fetched there, or could start there now."""
        for machine in machines:
            if any(self._of_wave(claim.job) and claim.phase != "running" for claim in machine.claims.values()):
                return True
        seen: set[Shape] = set()
        for job in jobs:
            if job.final is not None or not job.waiting or now < job.not_before or not self._of_wave(job):
                continue
            if not teams.room(job.spec) or (job.shape in seen and not (job.spec.one_zone or job.spec.spread)):
                continue
            seen.add(job.shape)
            if any(could_start(job, machine) for machine in machines):
                return True
        return False

    def _of_wave(self, job: Job) -> bool:
        return self.order.wave_of(job.order[0]) == self.wave


def could_start(job: Job, machine: Machine) -> bool:
    """Whether the machine has room for a task of the job, or could make room if it is production's."""
    if not machine.allows(job.spec) or not settled(job, machine):
        return False
    return machine.has_room(job.spec) or (job.order[0] == PRODUCTION_RANK and machine.could_clear(job.spec))


def may_fetch(machine: Machine, job: Job) -> bool:
    """Whether a cold machine may begin one more task, as to what it has to fetch.

    What a leader knows of its images may be out of date, so each task that was not seen to run may be a fetch. While a
    production service waits for its image nothing else gets a share of the machine's rate.
    """
    fetching = {
        claim.job.spec.image: claim.job.order[0] for claim in machine.claims.values() if claim.phase != "running"
    }
    if PRODUCTION_RANK in fetching.values() and job.order[0] != PRODUCTION_RANK:
        return False
    return job.spec.image in fetching or len(fetching) < FETCHES
