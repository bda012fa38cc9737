"""The leader's in-memory state of jobs, their tasks and the claims on tasks.

Claims are what keeps a task from running twice. A claim says that one attempt of one task may be on one machine. It is
recorded in the state service before the first order is sent, and it stays in force (no second claim on the task; it
counts towards the team's use and the placement rules) until the attempt is certain to be gone. ``workers`` decides when
that is; this module only keeps the books.
"""

from __future__ import annotations

import math
from typing import Any

from ladderfield.jobs.model import RANKS, JobSpec, block_count
from ladderfield.queues.launch import Launch

TaskId = tuple[str, int]
Shape = tuple[str, float, float, float, bool, str | None, tuple[str, ...] | None]


def task_name(task: TaskId) -> str:
    """A task's name on the wire."""
    return f"{task[0]}/{task[1]}"


class CapacityShare:
    """A limited part of the cluster's cpus that certain jobs may use ahead of the usual order, and its current use."""

    __slots__ = ("limit_cpus", "used_cpus")

    def __init__(self) -> None:
        self.used_cpus = self.limit_cpus = 0.0

    def allows(self, cpus: float) -> bool:
        """Whether ``cpus`` more fit within the limit."""
        return self.used_cpus + cpus <= self.limit_cpus


class Claim:
    """One attempt of one task, assigned to one machine."""

    __slots__ = (
        "attempt",
        "helped",
        "host",
        "host_record",
        "index",
        "job",
        "launch",
        "page",
        "phase",
        "recorded",
        "running_at",
        "share",
        "stop_reason",
        "stop_sent_at",
        "zone",
    )

    def __init__(self, job: Job, index: int, attempt: int, host: str, host_record: list[Any]) -> None:
        self.host_record = host_record  # the machine's zone, endpoint, type, and whether it is a spot machine
        self.zone: str = host_record[0]
        self.job, self.index, self.attempt, self.host = job, index, attempt, host
        self.page: int | None = None  # number of the page that the claim is recorded in
        self.recorded = False  # stored in the state service; the launch may be sent only then
        self.launch = Launch()
        self.phase: str | None = None  # as last reported
        self.running_at: float | None = None
        self.stop_reason: str | None = None  # why the attempt is being stopped; None while it is not
        self.stop_sent_at = -math.inf  # time of the last stop order
        self.share: CapacityShare | None = None  # the capacity share that its cpus count towards
        self.helped: str | None = None  # host of the straggler whose queue the task came from

    @property
    def task(self) -> TaskId:
        """The id of the task."""
        return (self.job.uid, self.index)


class Record:
    """A state-service key that stores accepted jobs; it is deleted once none of them is live."""

    __slots__ = ("key", "live_jobs", "stamp")

    def __init__(self, key: str, stamp: int) -> None:
        self.key, self.stamp = key, stamp
        self.live_jobs: set[str] = set()  # jobs that have not ended or may still have attempts on machines


class Job:
    """An accepted job that has not ended, or that still has claims."""

    __slots__ = (
        "_median_run_s",
        "accepted_at",
        "block",
        "blocks",
        "claims",
        "consecutive_errors",
        "due",
        "ended_at",
        "failed_hosts",
        "final_phase",
        "final_visible",
        "finished",
        "next_block",
        "not_before",
        "order",
        "pending_dependencies",
        "queued",
        "ready_since",
        "records",
        "reserved_hosts",
        "run_times_s",
        "shape",
        "spec",
        "uid",
        "unqueued",
        "unrecorded_done",
        "zones",
    )

    def __init__(self, spec: JobSpec, accepted_at: float, block: int) -> None:
        self.spec, self.uid, self.accepted_at, self.block = spec, spec.uid, accepted_at, block
        self.pending_dependencies: set[str] = set()  # not recorded as done; nothing starts until it is empty
        self.ready_since = accepted_at  # when the last dependency was done; waiting time counts from here
        self.due: tuple[float, float] | None = None  # deadline (wall clock) and allowed seconds, from dependent jobs
        self.ended_at: float | None = None  # when the last task ended
        self.records: list[Record] = []  # more than one after a retry at another controller
        self.final_phase: str | None = None  # done or cancelled, once recorded
        self.final_visible = False  # also seen in the view, so all records that name the job were read
        self.blocks = block_count(spec.tasks, block)
        self.next_block = 0  # blocks are opened in order, on demand
        self.unqueued: list[int] = []  # tasks of opened blocks that are in no machine's queue
        self.queued = 0  # number of tasks in machines' queues
        self.finished: set[int] = set()
        self.unrecorded_done: set[int] = set()  # tasks that finished, but are not recorded as done yet
        self.claims: dict[int, Claim] = {}
        self.zones: dict[str, int] = {}  # number of claims by zone, for the placement rules
        self.consecutive_errors = 0  # failed tasks since the last success
        self.failed_hosts: dict[str, float] = {}  # host -> until when tasks avoid it; cleared by a success
        self.not_before = 0.0  # no task starts earlier (backoff after failures)
        self.reserved_hosts: dict[str, float] = {}  # host -> until when the room freed there by preemption is reserved
        self.run_times_s: list[float] = []  # run times of finished tasks
        self.order = (RANKS[spec.rank],)  # the rank, or a better one inherited from a dependent job
        types = None if spec.types is None else tuple(spec.types)
        # Everything that decides whether a task fits a machine and its team's quota.
        self.shape: Shape = (spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, types)
        self._median_run_s: tuple[int, float] = (0, 0.0)  # number of run times, and their median

    @property
    def done(self) -> int:
        """Number of finished tasks."""
        return len(self.finished)

    @property
    def complete(self) -> bool:
        """Whether all tasks have finished."""
        return self.done >= self.spec.tasks

    @property
    def has_started(self) -> bool:
        """Whether any task is claimed or finished."""
        return bool(self.claims or self.finished)

    @property
    def waiting(self) -> int:
        """Number of tasks that may start and are neither finished nor claimed."""
        return 0 if self.pending_dependencies else self.spec.tasks - self.done - len(self.claims)

    def open_next(self) -> bool:
        """Make the next block's tasks available for queueing; False if all blocks are open."""
        if self.next_block >= self.blocks:
            return False
        first = self.next_block * self.block
        self.next_block += 1
        last = min(first + self.block, self.spec.tasks)
        self.unqueued += [n for n in range(first, last) if n not in self.finished and n not in self.claims]
        return True

    def bind(self, claim: Claim) -> None:
        """Register a claim."""
        self.claims[claim.index] = claim
        self.zones[claim.zone] = self.zones.get(claim.zone, 0) + 1

    def release(self, claim: Claim) -> None:
        """Remove a claim whose attempt is certain to be gone."""
        del self.claims[claim.index]
        self.zones[claim.zone] -= 1

    def run_s(self, bias: float = 1.0) -> float:
        """Expected run time of a task: the median of its finished tasks, else the owner's estimate.

        ``bias`` corrects the estimate by the recent ratio of true to estimated run times in the job's class.
        """
        if self.run_times_s:
            if self._median_run_s[0] != len(self.run_times_s):
                self._median_run_s = (len(self.run_times_s), sorted(self.run_times_s)[len(self.run_times_s) // 2])
            return self._median_run_s[1]
        return self.spec.estimate_s * bias


def ranges(numbers: set[int]) -> list[list[int]]:
    """The numbers as sorted, inclusive [first, last] ranges."""
    result: list[list[int]] = []
    for number in sorted(numbers):
        if result and number == result[-1][1] + 1:
            result[-1][1] = number
        else:
            result.append([number, number])
    return result
