"""Jobs as the foreman holds them: blocks, claims and what of them is on record.

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


class Claim:
    """One attempt of one task, bound to one machine."""

    __slots__ = (
        "attempt",
        "helped",
        "host",
        "index",
        "inherited",
        "job",
        "phase",
        "recorded",
        "running_at",
        "sent_at",
        "sent_tenure",
        "sent_tick",
        "stop_at",
        "stopping",
        "zone",
    )

    def __init__(self, job: Job, index: int, attempt: int, host: str, zone: str) -> None:
        self.zone = zone
        self.job, self.index, self.attempt, self.host = job, index, attempt, host
        self.recorded = False  # in the state service: only then may the launch go out
        self.inherited = False  # made by an earlier foreman, whose order may be out or not
        self.phase: str | None = None  # as last reported
        self.running_at: float | None = None
        self.sent_tenure: int | None = None  # the session the launch was last sent to
        self.sent_at = 0.0
        self.sent_tick = 0  # the report whose answer carried it
        self.stopping: str | None = None  # why it is being stopped
        self.stop_at = -math.inf  # when the stop was last sent
        self.helped: str | None = None  # the machine from whose queue it was taken

    @property
    def task(self) -> TaskId:
        """The task's id."""
        return (self.job.uid, self.index)


class Block:
    """A range of a job's tasks, claimed and recorded as one value."""

    __slots__ = ("claims", "done", "job", "number", "stamp", "version", "written")

    def __init__(self, job: Job, number: int) -> None:
        self.job, self.number = job, number
        self.stamp = 0  # the record's version; 0: not claimed yet
        self.done: set[int] = set()
        self.claims: dict[int, Claim] = {}
        self.version = self.written = 0

    @property
    def settled(self) -> bool:
        """Whether the record says all that is known here."""
        return self.version == self.written

    def touch(self) -> None:
        """The record has to be written again."""
        self.version += 1
        self.job.dirty[self.number] = self

    def span(self) -> range:
        """The block's tasks."""
        first = self.number * self.job.block
        return range(first, min(first + self.job.block, self.job.spec.tasks))

    def value(self) -> dict[str, Any]:
        """The record: finished ranges (d) and claims (a: task -> attempt, machine, zone)."""
        claims = {str(index): [claim.attempt, claim.host, claim.zone] for index, claim in self.claims.items()}
        return {"d": ranges(self.done), "a": claims}


class Job:
    """An accepted job that is not yet over, or whose claims still bind."""

    __slots__ = (
        "_usual",
        "at",
        "block",
        "blocks",
        "claims",
        "dirty",
        "done",
        "errors",
        "failed_hosts",
        "final",
        "finished_s",
        "held",
        "next_block",
        "not_before",
        "order",
        "queued",
        "shape",
        "spec",
        "stamp",
        "uid",
        "undealt",
        "zones",
    )

    def __init__(self, spec: JobSpec, at: float, block: int, stamp: int) -> None:
        self.spec, self.uid, self.at, self.block, self.stamp = spec, spec.uid, at, block, stamp
        self.final: str | None = None  # "cancelled" once on record
        self.blocks: dict[int, Block] = {}
        self.dirty: dict[int, Block] = {}  # blocks whose record is behind
        self.next_block = 0  # blocks are opened in order, as there is use for them
        self.undealt: list[int] = []  # tasks of opened blocks, in no machine's queue
        self.queued = 0  # tasks in machines' queues
        self.done = 0
        self.claims: dict[int, Claim] = {}
        self.zones: dict[str, int] = {}  # claims by zone, for placement
        self.errors = 0  # in a row, without a success between
        self.failed_hosts: set[str] = set()
        self.not_before = 0.0
        self.held: dict[str, float] = {}  # machines being cleared for its tasks, and until when
        self.finished_s: list[float] = []  # run times seen
        self.order = (RANKS[spec.rank],)
        types = None if spec.types is None else tuple(spec.types)
        # All that decides whether a task of it fits a machine and its team's account.
        self.shape: Shape = (spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, types)
        self._usual: tuple[int, float] = (0, 0.0)  # how many run times were seen, and the middle of them

    @property
    def block_total(self) -> int:
        """How many blocks the job has."""
        return block_count(self.spec.tasks, self.block)

    @property
    def complete(self) -> bool:
        """All tasks done."""
        return self.done >= self.spec.tasks

    @property
    def waiting(self) -> int:
        """Tasks neither done nor claimed."""
        return self.spec.tasks - self.done - len(self.claims)

    def block_of(self, index: int) -> Block:
        """The block that holds a task, opened if it isn't yet."""
        number = index // self.block
        block = self.blocks.get(number)
        if block is None:
            block = self.blocks[number] = Block(self, number)
        return block

    def open_next(self) -> bool:
        """Bring the next block's free tasks into play; False if there is none left."""
        if self.next_block >= self.block_total:
            return False
        first = self.next_block * self.block
        block = self.block_of(first)
        self.next_block += 1
        self.undealt += [n for n in block.span() if n not in block.done and n not in block.claims]
        return True

    def load(self, number: int, value: dict[str, Any], stamp: int) -> Block:
        """Take a block over as an earlier foreman left it on record."""
        block = self.block_of(number * self.block)
        block.stamp = stamp
        for first, last in value.get("d", []):
            block.done.update(range(first, last + 1))
        self.done += len(block.done)
        for index, (attempt, host, zone) in value.get("a", {}).items():
            claim = Claim(self, int(index), attempt, host, zone)
            claim.recorded = claim.inherited = True
            self.bind(claim)
        return block

    def bind(self, claim: Claim) -> None:
        """A claim begins to count."""
        self.block_of(claim.index).claims[claim.index] = self.claims[claim.index] = claim
        self.zones[claim.zone] = self.zones.get(claim.zone, 0) + 1

    def release(self, claim: Claim) -> None:
        """A claim's attempt is surely gone."""
        block = self.block_of(claim.index)
        del block.claims[claim.index], self.claims[claim.index]
        self.zones[claim.zone] -= 1
        block.touch()

    def run_s(self, bias: float = 1.0) -> float:
        """Expected run time of a task: the middle of what was seen, else the owner's estimate, set right by how
        far off the estimates of its class were lately."""
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
