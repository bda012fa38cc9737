"""Dealing, pulling, helping, picking: the design's ordinary path, as pure decisions over the leader's tables.

Kept from the design: a queue per machine, blocks dealt round-robin, a free machine pulls from its own queue, and
when that holds nothing for it, helps the straggler with the fewest helpers, then the slowest progress; within a
queue the pick goes by later stage, then locality score, then smallest id. (Protocol jobs have one stage, so the
first of these never decides.) Rank, guarantee, limit and placement order and filter around this pick.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable

from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Claim, Job, Shape, Share
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine


def half_up(tasks: int) -> int:
    """Most tasks of a spread job in one zone."""
    return (tasks + 1) // 2


def settled(job: Job, machine: Machine) -> bool:
    """Whether the job's other claims at this moment allow a task of it in the machine's zone."""
    spec = job.spec
    if spec.one_zone and any(count and zone != machine.zone for zone, count in job.zones.items()):
        return False
    return not (spec.spread and job.zones.get(machine.zone, 0) >= half_up(spec.tasks))


def placeable(job: Job, machine: Machine) -> bool:
    """Whether a task of the job may start there, given the job's other claims at this moment."""
    return machine.allows(job.spec) and settled(job, machine)


def locality(job: Job, machine: Machine) -> int:
    """The design's score with the image as the one dependency."""
    return 1 if job.spec.image in machine.cached else 0


class Queues:
    """The machines' queues. Tasks in them are neither claimed nor done.

    Who is helped next is kept in order during a pass, not searched for anew by every free machine: with hundreds of
    machines that search would be nearly all the work there is.
    """

    def __init__(self) -> None:
        self._turn = 0
        self._helping: dict[str, dict[str, int]] = {}  # straggler -> its helpers -> how many of its tasks they run
        self._ranked: dict[str, Machine] = {}  # this pass's stragglers
        self._order: list[tuple[int, int, str]] | None = None  # of these: helpers, finished, host
        self._machines: list[Machine] = []

    def begin(self, machines: list[Machine]) -> None:
        """A pass begins: these may pull and be helped."""
        self._machines, self._order = machines, None

    def rest(self) -> None:
        """The pass is over: what machines have finished may change from now on."""
        self._order = None
        self._ranked, self._machines = {}, []

    def helpers(self, straggler: str) -> int:
        """How many machines run tasks taken from this one's queue."""
        return len(self._helping.get(straggler, ()))

    def helped(self, straggler: str, helper: str, by: int) -> None:
        """A helper runs one more (or, with -1, one less) of a straggler's tasks."""
        if straggler == helper:
            return
        before = self.helpers(straggler)
        tasks = self._helping.setdefault(straggler, {})
        tasks[helper] = tasks.get(helper, 0) + by
        if tasks[helper] <= 0:
            del tasks[helper]
        if not tasks:
            del self._helping[straggler]
        after = self.helpers(straggler)
        machine = self._ranked.get(straggler)
        if after != before and self._order is not None and machine is not None:
            del self._order[bisect_left(self._order, (before, machine.finished, straggler))]
            insort(self._order, (after, machine.finished, straggler))

    def _stragglers(self) -> list[tuple[int, int, str]]:
        if self._order is None:
            self._ranked = {machine.host: machine for machine in self._machines if machine.queue}
            self._order = sorted((self.helpers(host), one.finished, host) for host, one in self._ranked.items())
        return self._order

    def deal(self, job: Job, machines: list[Machine]) -> None:
        """Deal a job's undealt tasks round-robin to the machines that may run them (``machines``)."""
        if not machines or not job.undealt:
            return
        for index in job.undealt:
            machine = machines[self._turn % len(machines)]
            self._turn += 1
            machine.queue.setdefault(job, deque()).append(index)
        job.queued += len(job.undealt)
        job.undealt = []

    def put_back(self, job: Job, index: int) -> None:
        """A task is free again; it is dealt anew.

        While its block is not open yet, opening it will do that: a task that is queued twice would be started twice.
        """
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

    @staticmethod
    def _pick(queue: dict[Job, deque[int]], machine: Machine, jobs: set[Job]) -> Job | None:
        """The job whose task goes first by locality, then smallest id."""
        here = queue.keys() & jobs
        return min(here, key=lambda job: (-locality(job, machine), job.uid)) if here else None

    def pull(self, machine: Machine, jobs: set[Job]) -> tuple[Job, int, str] | None:
        """What a free machine does next, out of ``jobs`` that it may run now.

        Its own queue goes first, then help for a straggler.
        """
        job = self._pick(machine.queue, machine, jobs)
        if job is not None:
            return self._take(job, machine)
        for _, _, host in self._stragglers():
            straggler = self._ranked[host]
            if not straggler.queue.keys().isdisjoint(jobs):
                job = self._pick(straggler.queue, machine, jobs)
                assert job is not None
                return self._take(job, straggler)
        return None

    def _take(self, job: Job, owner: Machine) -> tuple[Job, int, str]:
        tasks = owner.queue[job]
        index = tasks.popleft()
        if not tasks:
            del owner.queue[job]
        job.queued -= 1
        return job, index, owner.host


class Tier:
    """Jobs of equal standing.

    They are grouped by what decides where their tasks fit, so that a machine is asked once for all jobs of one kind.
    """

    def __init__(self, owed: bool, jobs: set[Job], share: Share | None = None, first_only: bool = False) -> None:
        self.owed, self.jobs, self.share = owed, jobs, share
        self.first_only = first_only  # only a job's first task starts by it
        self.rank = max(job.order[0] for job in jobs)
        self.groups: dict[Shape, dict[str, list[Job]]] = {}  # shape -> image -> jobs
        for job in jobs:
            self.groups.setdefault(job.shape, {}).setdefault(job.spec.image, []).append(job)

    def candidates(self, machines: Iterable[Machine]) -> list[Machine]:
        """The machines with room for any of the jobs."""
        specs = [next(iter(images.values()))[0].spec for images in self.groups.values()]
        return [one for one in machines if any(one.has_room(spec) and one.allows(spec) for spec in specs)]

    def eligible(
        self, machine: Machine, score: int, allowed: Callable[[JobSpec], bool], may_go: Callable[[Job], bool]
    ) -> set[Job]:
        """The jobs of which a task may start on the machine now, with a locality of at least ``score``."""
        found: set[Job] = set()
        for images in self.groups.values():
            spec = next(iter(images.values()))[0].spec
            if not machine.has_room(spec) or not machine.allows(spec) or not allowed(spec):
                continue
            if score:
                local: Iterable[list[Job]] = (images[one] for one in machine.cached if one in images)
            else:
                local = images.values()
            for jobs in local:
                for job in jobs:
                    if self.first_only and job.begun:
                        continue
                    if job.queued and may_go(job) and settled(job, machine):
                        found.add(job)
        return found


def tiers(jobs: Iterable[Job], teams: Teams, rating: Callable[[Job], tuple[bool, int]], now: float) -> list[Tier]:
    """Jobs that may start tasks now, grouped in the order of guarantee, rank and ``rating``.

    With each group stands whether it is owed to its team. Ratings are coarse, so that within a group the design's pick
    decides.
    """
    groups: dict[tuple, set[Job]] = {}
    for job in jobs:
        if job.queued and job.final is None and now >= job.not_before and teams.room(job.spec):
            groups.setdefault((not teams.guaranteed(job.spec), *job.order, *rating(job)), set()).add(job)
    return [Tier(not key[0], groups[key]) for key in sorted(groups)]


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
