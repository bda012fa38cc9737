"""Per-machine task queues and the choice of the next task, as pure functions of the leader's tables.

Each machine has a queue, and the tasks of a block are distributed round-robin. A free machine pulls from its own queue.
If that has no task for it, it helps a straggler: the one with the fewest helpers, then with the slowest progress.
Within a queue the choice is by later stage, then locality score, then smallest id (jobs of this protocol have one
stage, so the first never decides). Rank, guarantee, limit and placement rules order and filter the jobs beforehand.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable

from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import CapacityShare, Claim, Job, Shape
from ladderfield.teams import Teams
from ladderfield.workers.machine import Machine


def max_tasks_per_zone(tasks: int) -> int:
    """The most tasks of a spread job that may be in one zone: half of them, rounded up."""
    return (tasks + 1) // 2


def zone_allowed(job: Job, machine: Machine) -> bool:
    """Whether the job's current claims allow another of its tasks in the machine's zone."""
    spec = job.spec
    if spec.one_zone and any(count and zone != machine.zone for zone, count in job.zones.items()):
        return False
    return not (spec.spread and job.zones.get(machine.zone, 0) >= max_tasks_per_zone(spec.tasks))


def placeable(job: Job, machine: Machine) -> bool:
    """Whether a task of the job may be launched on the machine, given the job's other claims."""
    return machine.allows(job.spec) and zone_allowed(job, machine)


def locality(job: Job, machine: Machine) -> int:
    """Locality score: 1 if the machine has the job's image cached, else 0."""
    return 1 if job.spec.image in machine.cached else 0


class Queues:
    """The machines' queues; queued tasks are neither claimed nor finished.

    The stragglers are kept sorted during a pass instead of being searched by every free machine: with hundreds of
    machines that search would take nearly all of the time.
    """

    def __init__(self) -> None:
        self._next_index = 0  # round-robin position
        self._helper_tasks: dict[str, dict[str, int]] = {}  # straggler -> helper -> number of its tasks that run there
        self._stragglers_by_host: dict[str, Machine] = {}  # stragglers of this pass
        self._straggler_order: list[tuple[int, int, str]] | None = None  # sorted (helpers, finished tasks, host)
        self._pass_machines: list[Machine] = []

    def begin(self, machines: list[Machine]) -> None:
        """Begin a pass in which ``machines`` may pull tasks and be helped."""
        self._pass_machines, self._straggler_order = machines, None

    def end(self) -> None:
        """End the pass; the machines' counts of finished tasks may change from now on."""
        self._straggler_order = None
        self._stragglers_by_host, self._pass_machines = {}, []

    def helpers(self, straggler: str) -> int:
        """Number of machines that run tasks from the straggler's queue."""
        return len(self._helper_tasks.get(straggler, ()))

    def helped(self, straggler: str, helper: str, change: int) -> None:
        """Change the number of the straggler's tasks that the helper runs by ``change`` (1 or -1)."""
        if straggler == helper:
            return
        before = self.helpers(straggler)
        tasks = self._helper_tasks.setdefault(straggler, {})
        tasks[helper] = tasks.get(helper, 0) + change
        if tasks[helper] <= 0:
            del tasks[helper]
        if not tasks:
            del self._helper_tasks[straggler]
        after = self.helpers(straggler)
        machine = self._stragglers_by_host.get(straggler)
        if after != before and self._straggler_order is not None and machine is not None:
            del self._straggler_order[bisect_left(self._straggler_order, (before, machine.finished, straggler))]
            insort(self._straggler_order, (after, machine.finished, straggler))

    def _stragglers(self) -> list[tuple[int, int, str]]:
        if self._straggler_order is None:
            self._stragglers_by_host = {machine.host: machine for machine in self._pass_machines if machine.queue}
            self._straggler_order = sorted(
                (self.helpers(host), machine.finished, host) for host, machine in self._stragglers_by_host.items()
            )
        return self._straggler_order

    def distribute(self, job: Job, machines: list[Machine]) -> None:
        """Distribute a job's unqueued tasks round-robin to ``machines``, which may run them."""
        if not machines or not job.unqueued:
            return
        for index in job.unqueued:
            machine = machines[self._next_index % len(machines)]
            self._next_index += 1
            machine.queue.setdefault(job, deque()).append(index)
        job.queued += len(job.unqueued)
        job.unqueued = []

    def put_back(self, job: Job, index: int) -> None:
        """Make a task whose claim ended available for queueing again.

        If its block is not open yet, opening it does so; a task that is queued twice would be started twice.
        """
        if index // job.block < job.next_block:
            job.unqueued.append(index)

    def withdraw(self, machine: Machine) -> None:
        """Empty the queue of a machine that takes no more work; its tasks become unqueued."""
        for job, tasks in machine.queue.items():
            job.unqueued += tasks
            job.queued -= len(tasks)
        machine.queue.clear()

    def remove_job(self, job: Job, machines: Iterable[Machine]) -> None:
        """Remove all of a job's tasks from the queues."""
        for machine in machines:
            machine.queue.pop(job, None)
        job.queued = 0
        job.unqueued = []

    @staticmethod
    def _pick(queue: dict[Job, deque[int]], machine: Machine, jobs: set[Job]) -> Job | None:
        """The job in the queue that is first by locality, then smallest id."""
        here = queue.keys() & jobs
        return min(here, key=lambda job: (-locality(job, machine), job.uid)) if here else None

    def pull(self, machine: Machine, jobs: set[Job]) -> tuple[Job, int, str] | None:
        """The next task for a free machine, out of ``jobs``, which it may run now.

        Returns the job, the task's index and the host whose queue it came from. The machine's own queue is tried first,
        then those of the stragglers.
        """
        job = self._pick(machine.queue, machine, jobs)
        if job is not None:
            return self._take(job, machine)
        for _, _, host in self._stragglers():
            straggler = self._stragglers_by_host[host]
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
    """Jobs of the same priority.

    They are grouped by shape (what decides where a task fits), so that each machine is checked once per shape.
    """

    def __init__(
        self, by_guarantee: bool, jobs: set[Job], share: CapacityShare | None = None, first_task_only: bool = False
    ) -> None:
        self.by_guarantee, self.jobs, self.share = by_guarantee, jobs, share
        self.first_task_only = first_task_only  # starts only the first task of a job
        self.rank = max(job.order[0] for job in jobs)
        self.groups: dict[Shape, dict[str, list[Job]]] = {}  # shape -> image -> jobs
        for job in jobs:
            self.groups.setdefault(job.shape, {}).setdefault(job.spec.image, []).append(job)

    def machines_with_room(self, machines: Iterable[Machine]) -> list[Machine]:
        """The machines that have room for a task of any of the jobs."""
        specs = [next(iter(images.values()))[0].spec for images in self.groups.values()]
        return [
            machine for machine in machines if any(machine.has_room(spec) and machine.allows(spec) for spec in specs)
        ]

    def eligible(
        self, machine: Machine, min_locality: int, allowed: Callable[[JobSpec], bool], may_start: Callable[[Job], bool]
    ) -> set[Job]:
        """The jobs of which a task may start on the machine now, with a locality score of at least ``min_locality``."""
        found: set[Job] = set()
        for images in self.groups.values():
            spec = next(iter(images.values()))[0].spec
            if not machine.has_room(spec) or not machine.allows(spec) or not allowed(spec):
                continue
            if min_locality:
                local: Iterable[list[Job]] = (images[image] for image in machine.cached if image in images)
            else:
                local = images.values()
            for jobs in local:
                for job in jobs:
                    if self.first_task_only and job.has_started:
                        continue
                    if job.queued and may_start(job) and zone_allowed(job, machine):
                        found.add(job)
        return found


def tiers(jobs: Iterable[Job], teams: Teams, rating: Callable[[Job], tuple[bool, int]], now: float) -> list[Tier]:
    """Jobs that may start tasks now, grouped and sorted by guarantee, rank and ``rating``.

    A tier's ``by_guarantee`` says whether its jobs are within their teams' guarantees. Ratings are coarse, so that
    within a tier locality and the queues decide.
    """
    groups: dict[tuple, set[Job]] = {}
    for job in jobs:
        if job.queued and job.final_phase is None and now >= job.not_before and teams.room(job.spec):
            groups.setdefault((not teams.guaranteed(job.spec), *job.order, *rating(job)), set()).add(job)
    return [Tier(not key[0], groups[key]) for key in sorted(groups)]


def victims(machine: Machine, spec: JobSpec, preemptible: dict[Claim, float]) -> list[Claim] | None:
    """The claims to preempt so that one task fits, with the least loss of work; None if it can't fit."""
    cpus, gpus, memory = machine.cpus, machine.gpus, machine.memory_gb
    chosen: list[Claim] = []
    for claim in sorted(preemptible, key=lambda claim: (-claim.job.order[0], preemptible[claim])):
        if spec.cpus <= cpus and spec.gpus <= gpus and spec.memory_gb <= memory:
            break
        chosen.append(claim)
        cpus += claim.job.spec.cpus
        gpus += claim.job.spec.gpus
        memory += claim.job.spec.memory_gb
    if spec.cpus <= cpus and spec.gpus <= gpus and spec.memory_gb <= memory:
        return chosen
    return None
