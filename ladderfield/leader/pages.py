"""Pages: the records that hold the claims and finished ranges of many jobs at once.

The state service counts changes, not bytes, and allows a fifth of a change per machine and second at most. So what a
pass claims, and what finished meanwhile, goes out as one or two puts, whoever's tasks they are. A page is always
rewritten whole, with what is still live of it, so that it never has to be cleaned: the emptiest one takes what is new.

What is on a page may be out of date in one way only: a claim may stand there that has ended since. Reading that back
(a takeover) is harmless. A claim of a task that is done counts for nothing, of two claims of a task the later attempt
counts, since it was made only when the earlier one was surely gone, and one that counts wrongly binds until its
machine says that it has no such task.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ladderfield.http import encode
from ladderfield.jobs.model import FULL, page_key
from ladderfield.queues.work import Claim, Job, ranges
from ladderfield.workers.machine import Machine

HOSTS = "hosts"  # no job is called that
FRAME = 14  # bytes of a page beside its jobs
BRACKETS = 2  # of a list
ESCAPED = 6  # bytes that one character may take
LEAST = FRAME + 80  # bytes of a page with one claim, its machine's names apart


class Page:
    """One record."""

    __slots__ = ("_ranges", "claims", "dirty", "done", "hosts", "jobs", "number", "size", "stamp")

    def __init__(self, number: int, stamp: int = 0) -> None:
        self.number, self.stamp = number, stamp
        self.claims: dict[Claim, None] = {}
        self.done: dict[Job, set[int]] = {}
        self.hosts: dict[str, int] = {}  # machines of these claims, and how many each has
        self.jobs: dict[Job, int] = {}  # how many claims each has here, and one more if tasks of it are done
        self._ranges: dict[Job, int] = {}  # the bytes of its finished ranges
        self.size = FRAME  # an upper bound of the value's bytes, as it would be written now
        self.dirty = False  # the record still has what is no longer so

    @property
    def key(self) -> str:
        """Its key."""
        return page_key(self.number)

    def add_claim(self, claim: Claim) -> None:
        """The claim is to be kept here."""
        self.size += self.cost(claim)
        self.claims[claim] = None
        self.hosts[claim.host] = self.hosts.get(claim.host, 0) + 1
        self.jobs[claim.job] = self.jobs.get(claim.job, 0) + 1
        claim.page = self.number

    def cost(self, claim: Claim) -> int:
        """The bytes that the claim adds to the value."""
        host = 0 if claim.host in self.hosts else host_bytes(claim)
        return claim_bytes(claim) + host + (0 if claim.job in self.jobs else job_bytes(claim.job))

    def drop_claim(self, claim: Claim) -> None:
        """It has ended, or moves to another page."""
        if self.claims.pop(claim, self) is None:
            self.hosts[claim.host] -= 1
            if not self.hosts[claim.host]:
                del self.hosts[claim.host]
            self._drop_job(claim.job)
            self.size -= self.cost(claim)

    def _drop_job(self, job: Job) -> None:
        self.jobs[job] -= 1
        if not self.jobs[job]:
            del self.jobs[job]

    def add_done(self, job: Job, tasks: Iterable[int]) -> None:
        """The ends of these tasks are to be kept here."""
        if job not in self.done:
            self.size += 0 if job in self.jobs else job_bytes(job)
            self.jobs[job] = self.jobs.get(job, 0) + 1
        known = self.done.setdefault(job, set())
        known.update(tasks)
        self._measure(job, known)

    def _measure(self, job: Job, known: set[int]) -> None:
        size = len(encode(ranges(known)))
        self.size += size - self._ranges.get(job, 0)
        self._ranges[job] = size

    def room_for(self, job: Job, most: int) -> int:
        """How many ends of tasks would surely fit, in however many ranges."""
        entry = (0 if job in self.jobs else job_bytes(job)) + BRACKETS
        return (most - self.size - entry) // (2 * len(str(job.spec.tasks)) + 4)

    def drop_job(self, job: Job) -> None:
        """The job's final state is on record, which says it all."""
        self.drop_done(job, self.done.get(job, ()))

    def drop_done(self, job: Job, tasks: Iterable[int]) -> None:
        """The ends of these tasks are not to be kept here any more."""
        known = self.done.get(job)
        if known is None:
            return
        known.difference_update(list(tasks))
        self._measure(job, known)
        if not known:
            del self.done[job]
            self.size -= self._ranges.pop(job)
            self._drop_job(job)
            self.size -= 0 if job in self.jobs else job_bytes(job)

    def value(self) -> dict[str, Any]:
        """The record of all that is on the page.

        Of each job its finished ranges (d) and claims (a: task -> attempt, machine), and of each of these machines
        zone, address, type and kind: a new leader must be able to speak to them while the cloud, which could tell, is
        down.
        """
        value: dict[str, Any] = {}
        for job, tasks in self.done.items():
            value.setdefault(job.uid, {})["d"] = ranges(tasks)
        hosts: dict[str, list[Any]] = {}
        for claim in self.claims:
            claims = value.setdefault(claim.job.uid, {}).setdefault("a", {})
            claims[str(claim.index)] = [claim.attempt, claim.host]
            hosts[claim.host] = claim.about
        if hosts:
            value[HOSTS] = hosts
        return value


def host_bytes(claim: Claim) -> int:
    """What is said of a claim's machine takes so much on a page."""
    return len(encode(claim.host)) + len(encode(claim.about)) + 2


def claim_bytes(claim: Claim) -> int:
    """A claim takes so much on a page that knows its job and machine."""
    return len(str(claim.index)) + len(str(claim.attempt)) + len(encode(claim.host)) + 7


def job_bytes(job: Job) -> int:
    """A job takes so much on a page, claims and ranges apart."""
    return len(job.uid) + 20


class Pages:
    """All pages. Their numbers have no gaps, so that a reader finds all of them."""

    def __init__(self, value_kb: float) -> None:
        self.pages: list[Page] = []
        # Pages from before the state service's limit fell may be larger. They are read, and written again once what
        # is left of them fits; until then what changes goes on others.
        self.most = int(value_kb * 1024 * FULL)
        self.dirty: set[Page] = set()
        self.owing: set[Page] = set()  # these hold what is not on record, since a write of them failed

    def load(self, number: int, stamp: int) -> Page:
        """A page found on record."""
        while len(self.pages) <= number:
            self.pages.append(Page(len(self.pages)))
        self.pages[number].stamp = stamp
        return self.pages[number]

    def of(self, claim: Claim) -> Page | None:
        """The page that holds a claim, if one does."""
        return None if claim.page is None else self.pages[claim.page]

    def holds(self, machine: Machine) -> bool:
        """Whether a claim for the machine fits a page at all, whatever it and its address are called."""
        if ESCAPED * (2 * len(machine.host) + len(machine.endpoint) + len(machine.zone)) < self.most / 2:
            return True
        return 2 * len(encode(machine.host)) + len(encode(machine.about())) + LEAST < self.most

    def large(self) -> Page | None:
        """One that is too large to be written as it is: the one with least left on it."""
        return min((page for page in self.pages if page.size > self.most), key=lambda page: page.size, default=None)

    def ended(self, claim: Claim, done: bool) -> None:
        """A claim no longer binds.

        Once the task's end is on record, its old claim says nothing; until then the page should be rewritten some time.
        """
        page = self.of(claim)
        if page is not None:
            page.drop_claim(claim)
            if not done:
                self.mark_dirty(page)

    def mark_dirty(self, page: Page) -> None:
        """Its record is out of date."""
        page.dirty = True
        self.dirty.add(page)

    def over(self, job: Job) -> None:
        """The job is over: what pages say of its tasks no longer matters."""
        for page in self.pages:
            if job in page.done:
                page.drop_job(job)

    def roomiest(self, taken: set[Page]) -> Page:
        """The page that takes what is new: the one with the least live content, or a new one."""
        free = [page for page in self.pages if page not in taken]
        best = min(free, key=lambda page: (not page.dirty, page.size), default=None)
        if best is not None and best.size > self.most / 2:
            best = min(free, key=lambda page: page.size)
        if best is None or best.size > self.most / 2:
            best = Page(len(self.pages))
            self.pages.append(best)
        return best


def encoded_size(page: Page) -> int:
    """The bytes that the page's value takes on the wire."""
    return len(encode(page.value()))
