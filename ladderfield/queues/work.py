"""Jobs as the leader holds them: their tasks, and the claims on these.

A claim is the safety of the whole program. It says that one task, as one attempt, may be on one machine. It is on
record before the first order goes out, and it binds (no second claim, counted against team and placement) until
that attempt is surely gone. What decides that is in ``workers``; here is only the bookkeeping.
"""

from __future__ import annotations

import math
from typing import Any

from ladderfield.jobs.model import RANKS, JobSpec, block_count

TaskId = tuple[str, int]
Shape = tuple[str, float, float, float, bool, str | None, tuple[str, ...] | None]


def task_name(task: TaskId) -> str:
    """A task's name on the wire."""
    return f"{task[0]}/{task[1]}"


class Share:
    """A part of all room that goes to some jobs ahead of their turn, and what their claims hold of it."""

    __slots__ = ("held", "limit")

    def __init__(self) -> None:
        self.held = self.limit = 0.0  # cpus

    def allows(self, cpus: float) -> bool:
        """Whether so much more may be given."""
        return self.held + cpus <= self.limit


class Claim:
    """One attempt of one task, bound to one machine."""

    __slots__ = (
        "about",
        "attempt",
        "helped",
        "host",
        "index",
        "inherited",
        "job",
        "page",
        "phase",
        "recorded",
        "running_at",
        "sent_at",
        "sent_tenure",
        "sent_tick",
        "share",
        "stop_at",
        "stopping",
        "zone",
    )

    def __init__(self, job: Job, index: int, attempt: int, host: str, about: list[Any]) -> None:
        self.about = about  # the machine's zone, address, type, and whether it is a spot machine
        self.zone: str = about[0]
        self.job, self.index, self.attempt, self.host = job, index, attempt, host
        self.page: int | None = None  # the number of the page that holds it
        self.recorded = False  # in the state service: only then may the launch go out
        self.inherited = False  # made by an earlier leader, whose order may be out or not
        self.phase: str | None = None  # as last reported
        self.running_at: float | None = None
        self.sent_tenure: int | None = None  # the session the launch was last sent to
        self.sent_at = 0.0
        self.sent_tick = 0  # the report whose answer carried it
        self.stopping: str | None = None  # why it is being stopped
        self.stop_at = -math.inf  # when the stop was last sent
        self.share: Share | None = None  # of which it was given room ahead of its turn
        self.helped: str | None = None  # the machine from whose queue it was taken

    @property
    def task(self) -> TaskId:
        """The task's id."""
        return (self.job.uid, self.index)


class Record:
    """A key on which accepted jobs stand; it may go once none of them lives."""

    __slots__ = ("key", "live", "stamp")

    def __init__(self, key: str, stamp: int) -> None:
        self.key, self.stamp = key, stamp
        self.live: set[str] = set()  # jobs that are not over, or not off all machines


class Job:
    """An accepted job that is not yet over, or whose claims still bind."""

    __slots__ = (
        "_usual",
        "at",
        "block",
        "blocks",
        "claims",
        "due",
        "ended_at",
        "errors",
        "failed_hosts",
        "final",
        "final_seen",
        "finished",
        "finished_s",
        "held",
        "next_block",
        "not_before",
        "order",
        "queued",
        "records",
        "shape",
        "since",
        "spec",
        "uid",
        "undealt",
        "unsettled",
        "waits",
        "zones",
    )

    def __init__(self, spec: JobSpec, at: float, block: int) -> None:
        self.spec, self.uid, self.at, self.block = spec, spec.uid, at, block
        self.waits: set[str] = set()  # jobs it needs that are not, on record, done: until then it is nothing but queued
        self.since = at  # when the last of them was done: from then on its wait counts
        self.due: tuple[float, float] | None = None  # time of day, and seconds allowed, for those that wait for it
        self.ended_at: float | None = None  # when its last task ended
        self.records: list[Record] = []  # one, or more after a retry at another controller
        self.final: str | None = None  # once on record
        self.final_seen = False  # the view has told so too; all records that name the job came before that
        self.blocks = block_count(spec.tasks, block)
        self.next_block = 0  # blocks are opened in order, as there is use for them
        self.undealt: list[int] = []  # tasks of opened blocks, in no machine's queue
        self.queued = 0  # tasks in machines' queues
        self.finished: set[int] = set()
        self.unsettled: set[int] = set()  # finished, but not on record yet
        self.claims: dict[int, Claim] = {}
        self.zones: dict[str, int] = {}  # claims by zone, for placement
        self.errors = 0  # in a row, without a success between
        self.failed_hosts: dict[str, float] = {}  # since the last success; until when its tasks avoid each
        self.not_before = 0.0
        self.held: dict[str, float] = {}  # machines being cleared for its tasks, and until when
        self.finished_s: list[float] = []  # run times seen
        self.order = (RANKS[spec.rank],)  # or that of a job that waits for it
        types = None if spec.types is None else tuple(spec.types)
        # All that decides whether a task of it fits a machine and its team's account.
        self.shape: Shape = (spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, types)
        self._usual: tuple[int, float] = (0, 0.0)  # how many run times were seen, and the middle of them

    @property
    def done(self) -> int:
        """How many tasks are done."""
        return len(self.finished)

    @property
    def complete(self) -> bool:
        """All tasks done."""
        return self.done >= self.spec.tasks

    @property
    def begun(self) -> bool:
        """Whether any task runs or is done."""
        return bool(self.claims or self.finished)

    @property
    def waiting(self) -> int:
        """Tasks neither done nor claimed that may start."""
        return 0 if self.waits else self.spec.tasks - self.done - len(self.claims)

    def open_next(self) -> bool:
        """Bring the next block's free tasks into play; False if there is none left."""
        if self.next_block >= self.blocks:
            return False
        first = self.next_block * self.block
        self.next_block += 1
        last = min(first + self.block, self.spec.tasks)
        self.undealt += [n for n in range(first, last) if n not in self.finished and n not in self.claims]
        return True

    def bind(self, claim: Claim) -> None:
        """A claim begins to count."""
        self.claims[claim.index] = claim
        self.zones[claim.zone] = self.zones.get(claim.zone, 0) + 1

    def release(self, claim: Claim) -> None:
        """A claim's attempt is surely gone."""
        del self.claims[claim.index]
        self.zones[claim.zone] -= 1

    def run_s(self, bias: float = 1.0) -> float:
        """Expected run time of a task: the middle of what was seen, else the owner's estimate.

        The estimate is set right by how far off the estimates of its class were lately.
        """
        if self.finished_s:
            if self._usual[0] != len(self.finished_s):
                self._usual = (len(self.finished_s), sorted(self.finished_s)[len(self.finished_s) // 2])
            return self._usual[1]
        return self.spec.estimate_s * bias


def ranges(numbers: set[int]) -> list[list[int]]:
    """Numbers as sorted [first, last] ranges."""
    result: list[list[int]] = []
    for number in sorted(numbers):
        if result and number == result[-1][1] + 1:
            result[-1][1] = number
        else:
            result.append([number, number])
    return result
