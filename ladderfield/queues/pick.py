"""Dealing, pulling, helping, picking: the design's ordinary path, as pure decisions over the foreman's tables.

Kept from the design: a queue per machine, blocks dealt round-robin, a free machine pulls from its own queue, and
when that holds nothing for it, helps the straggler with the fewest helpers, then the slowest progress; within a
queue the pick goes by later stage, then locality score, then smallest id. (Protocol jobs have one stage, so the
first of these never decides.) Rank, guarantee, limit and placement order and filter around this pick.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Claim, Job
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine


def half_up(tasks: int) -> int:
    """Most tasks of a spread job in one zone."""
    return (tasks + 1) // 2


def placeable(job: Job, machine: Machine) -> bool:
    """Whether a task of the job may start there, given the job's other claims at this moment."""
    spec = job.spec
    if not machine.allows(spec):
        return False
    if spec.one_zone and any(count and zone != machine.zone for zone, count in job.zones.items()):
        return False
    return not (spec.spread and job.zones.get(machine.zone, 0) >= half_up(spec.tasks))


def locality(job: Job, machine: Machine) -> int:
    """The design's score with the image as the one dependency."""
    return 1 if job.spec.image in machine.cached else 0


class Queues:
    """The machines' queues. Tasks in them are neither claimed nor done."""

    def __init__(self) -> None:
        self._turn = 0

    def deal(self, job: Job, machines: list[Machine]) -> None:
        """Deal a job's undealt tasks round-robin to the machines that may run them."""
        fit = [machine for machine in machines if machine.allows(job.spec)]
        if not fit or not job.undealt:
            return
        for index in job.undealt:
            machine = fit[self._turn % len(fit)]
            self._turn += 1
            machine.queue.setdefault(job, deque()).append(index)
        job.queued += len(job.undealt)
        job.undealt = []

    def put_back(self, job: Job, index: int) -> None:
        """A task is free again; it is dealt anew. While its block is not open yet, opening it will do that: a task
        that is queued twice would be started twice."""
        if index // job.block < job.next_block:
            job.undealt.append(index)

    def withdraw(self, machine: Machine) -> None:
        """Take all of a machine's queue back for dealing (it takes no more work)."""
        for job, tasks in machine.queue.items():
            job.undealt += tasks
            job.queued -= len(tasks)
        machine.queue.clear()

    def drop(self, job: Job, machines: Iterable[Machine]) -> None:
        """Forget a job's queued tasks."""
        for machine in machines:
            machine.queue.pop(job, None)
        job.queued = 0
        job.undealt = []

    def _pick(self, queue: dict[Job, deque[int]], machine: Machine, jobs: set[Job], score: int) -> Job | None:
        """The job whose task goes first by locality, then smallest id."""
        best: Job | None = None
        for job in queue:
            if job not in jobs or locality(job, machine) < score:
                continue
            if best is not None and (-locality(job, machine), job.uid) >= (-locality(best, machine), best.uid):
                continue
            if machine.has_room(job.spec) and machine.host not in job.failed_hosts and placeable(job, machine):
                best = job
        return best

    def pull(
        self, machine: Machine, machines: list[Machine], jobs: set[Job], score: int
    ) -> tuple[Job, int, str] | None:
        """What a free machine does next, out of ``jobs``: its own queue first, then help for a straggler."""
        job = self._pick(machine.queue, machine, jobs, score)
        if job is not None:
            return self._take(job, machine)
        stragglers = [other for other in machines if other is not machine and other.queue]
        stragglers.sort(key=lambda other: (helpers(other, machines), other.finished, other.host))
        for straggler in stragglers:
            job = self._pick(straggler.queue, machine, jobs, score)
            if job is not None:
                return self._take(job, straggler)
        return None

    def _take(self, job: Job, owner: Machine) -> tuple[Job, int, str]:
        tasks = owner.queue[job]
        index = tasks.popleft()
        if not tasks:
            del owner.queue[job]
        job.queued -= 1
        return job, index, owner.host


def helpers(straggler: Machine, machines: Iterable[Machine]) -> int:
    """How many machines run tasks taken from this one's queue."""
    return sum(
        1
        for machine in machines
        if machine is not straggler and any(claim.helped == straggler.host for claim in machine.claims.values())
    )


def tiers(
    jobs: Iterable[Job], teams: Teams, rating: Callable[[Job], tuple[bool, int]], now: float
) -> list[tuple[bool, set[Job]]]:
    """Jobs that may start tasks now, grouped in the order of guarantee, rank and ``rating``; with each group whether
    it is owed to its team. Ratings are coarse, so that within a group the design's pick decides.
    """
    groups: dict[tuple, set[Job]] = {}
    for job in jobs:
        if job.queued and job.final is None and now >= job.not_before and teams.room(job.spec):
            groups.setdefault((not teams.guaranteed(job.spec), *job.order, *rating(job)), set()).add(job)
    return [(not key[0], groups[key]) for key in sorted(groups)]


def victims(machine: Machine, spec: JobSpec, preemptible: dict[Claim, float]) -> list[Claim] | None:
    """The claims to stop so that one task fits, losing the least work; None if that can't make room."""
    cpus, gpus, memory = machine.cpus, machine.gpus, machine.memory_gb
    chosen: list[Claim] = []
    for claim in sorted(preemptible, key=lambda one: (-one.job.order[0], preemptible[one])):
        if spec.cpus <= cpus and spec.gpus <= gpus and spec.memory_gb <= memory:
            break
        chosen.append(claim)
        cpus += claim.job.spec.cpus
        gpus += claim.job.spec.gpus
        memory += claim.job.spec.memory_gb
    if spec.cpus <= cpus and spec.gpus <= gpus and spec.memory_gb <= memory:
        return chosen
    return None
