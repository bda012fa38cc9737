"""The waves in which work returns to a zone, and the limit on image fetches by a machine there."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ladderfield.jobs.model import RANKS
from ladderfield.queues.pick import placeable
from ladderfield.queues.work import Job, Shape
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine
from ladderfield.zones.order import ReturnOrder

PRODUCTION_RANK = RANKS["production"]
MAX_CONCURRENT_FETCHES = 2  # per machine in a returning zone


class ZoneMachines(NamedTuple):
    """The machines of a zone: all of them, as a task may still start on one that gets no new work, and usable ones."""

    all: list[Machine]
    usable: list[Machine]


class ZoneReturn:
    """The return of work to one zone. The first wave opens at once: services don't wait for the probation."""

    def __init__(self, zone: str, order: ReturnOrder, wave: int = 0) -> None:
        self.zone, self.order, self.wave = zone, order, min(wave, order.last_wave + 1)

    @property
    def complete(self) -> bool:
        """Whether all waves are finished."""
        return self.wave > self.order.last_wave

    def admits_rank(self, rank: int) -> bool:
        """Whether the wave of this rank is open."""
        return self.order.wave_of(rank) <= self.wave

    def advance(self, machines: ZoneMachines, jobs: Iterable[Job], teams: Teams, now: float) -> bool:
        """Open the next wave if the current one has no unfinished work; returns whether it did."""
        if self.complete or self._is_starting(machines.all) or self._could_start(machines.usable, jobs, teams, now):
            return False
        self.wave += 1
        return True

    def _is_starting(self, machines: Iterable[Machine]) -> bool:
        """Whether a task of the current wave is claimed on one of the machines and does not run yet."""
        return any(
            self._in_current_wave(claim.job) and claim.phase != "running"
            for machine in machines
            for claim in machine.claims.values()
        )

    def _could_start(self, machines: list[Machine], jobs: Iterable[Job], teams: Teams, now: float) -> bool:
        """Whether a waiting task of the current wave could start on one of the machines now."""
        seen: set[Shape] = set()
        for job in jobs:
            if job.final_phase is not None or not job.waiting or now < job.not_before or not self._in_current_wave(job):
                continue
            if not teams.room(job.spec) or (job.shape in seen and not (job.spec.one_zone or job.spec.spread)):
                continue
            seen.add(job.shape)
            if any(could_start(job, machine) for machine in machines):
                return True
        return False

    def _in_current_wave(self, job: Job) -> bool:
        return self.order.wave_of(job.order[0]) == self.wave


def could_start(job: Job, machine: Machine) -> bool:
    """Whether the machine has room for a task of the job, or a production task could preempt others there."""
    if not placeable(job, machine):
        return False
    return machine.has_room(job.spec) or (
        job.order[0] == PRODUCTION_RANK and machine.may_fit_after_preemption(job.spec)
    )


def may_fetch(machine: Machine, job: Job) -> bool:
    """Whether the limit on concurrent image fetches allows one more task on the machine.

    The leader's view of cached images may be stale, so each claimed task that was not yet reported running counts as a
    fetch. While a production service waits for its image, no other fetch may take a share of the machine's bandwidth.
    """
    fetching = {
        claim.job.spec.image: claim.job.order[0] for claim in machine.claims.values() if claim.phase != "running"
    }
    if PRODUCTION_RANK in fetching.values() and job.order[0] != PRODUCTION_RANK:
        return False
    return job.spec.image in fetching or len(fetching) < MAX_CONCURRENT_FETCHES
