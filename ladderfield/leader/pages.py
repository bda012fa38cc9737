"""Pages: records that each hold claims and finished task ranges of many jobs.

The state service limits changes, not bytes, to at most a fifth of a change per machine and second. So the claims of a
pass and the tasks finished meanwhile are written with one or two puts, whichever jobs they belong to. A page is always
rewritten whole, with its live content only, so that it needs no cleanup, and new content goes to the emptiest page.

A recorded page can be out of date in one way only: it may hold claims that have ended since. Reading these in a
takeover is harmless. A claim of a finished task is ignored. Of two claims of a task the later attempt counts, as it was
made only when the earlier one could no longer run. An ended claim that still counts binds until its machine reports
that it has no such task.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ladderfield.http import encode
from ladderfield.jobs.model import page_key
from ladderfield.queues.work import Claim, Job, ranges
from ladderfield.workers.machine import Machine

HOSTS = "hosts"  # not a valid job id
FRAME_BYTES = 14  # of a page without jobs
BRACKETS_BYTES = 2  # of a list
MAX_CHARACTER_BYTES = 6  # of one character, if escaped
ONE_CLAIM_PAGE_BYTES = FRAME_BYTES + 80  # of a page with one claim, without its machine's names and address


class Page:
    """The live content of one page."""

    __slots__ = ("_range_bytes", "claims", "dirty", "done", "hosts", "jobs", "key_revision", "number", "size")

    def __init__(self, number: int, key_revision: int = 0) -> None:
        self.number, self.key_revision = number, key_revision
        self.claims: dict[Claim, None] = {}
        self.done: dict[Job, set[int]] = {}
        self.hosts: dict[str, int] = {}  # number of claims by machine
        self.jobs: dict[Job, int] = {}  # number of claims by job, plus one if the page holds finished tasks of it
        self._range_bytes: dict[Job, int] = {}  # encoded size of the finished ranges by job
        self.size = FRAME_BYTES  # upper bound of the encoded value in bytes, if written now
        self.dirty = False  # the recorded value is out of date

    @property
    def key(self) -> str:
        """The page's key in the state service."""
        return page_key(self.number)

    def add_claim(self, claim: Claim) -> None:
        """Add a claim."""
        self.size += self.cost(claim)
        self.claims[claim] = None
        self.hosts[claim.host] = self.hosts.get(claim.host, 0) + 1
        self.jobs[claim.job] = self.jobs.get(claim.job, 0) + 1
        claim.page = self.number

    def cost(self, claim: Claim) -> int:
        """The bytes that the claim would add to the value."""
        host = 0 if claim.host in self.hosts else host_bytes(claim)
        return claim_bytes(claim) + host + (0 if claim.job in self.jobs else job_bytes(claim.job))

    def drop_claim(self, claim: Claim) -> None:
        """Remove a claim that has ended or moves to another page."""
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
        """Add finished tasks of a job."""
        if job not in self.done:
            self.size += 0 if job in self.jobs else job_bytes(job)
            self.jobs[job] = self.jobs.get(job, 0) + 1
        finished = self.done.setdefault(job, set())
        finished.update(tasks)
        self._measure(job, finished)

    def _measure(self, job: Job, finished: set[int]) -> None:
        size = len(encode(ranges(finished)))
        self.size += size - self._range_bytes.get(job, 0)
        self._range_bytes[job] = size

    def room_for(self, job: Job, max_bytes: int) -> int:
        """How many finished tasks surely fit, even if each needs a range of its own."""
        entry = (0 if job in self.jobs else job_bytes(job)) + BRACKETS_BYTES
        return (max_bytes - self.size - entry) // (2 * len(str(job.spec.tasks)) + 4)

    def drop_job(self, job: Job) -> None:
        """Remove all finished tasks of a job whose final state is recorded."""
        self.drop_done(job, self.done.get(job, ()))

    def drop_done(self, job: Job, tasks: Iterable[int]) -> None:
        """Remove finished tasks of a job."""
        finished = self.done.get(job)
        if finished is None:
            return
        finished.difference_update(list(tasks))
        self._measure(job, finished)
        if not finished:
            del self.done[job]
            self.size -= self._range_bytes.pop(job)
            self._drop_job(job)
            self.size -= 0 if job in self.jobs else job_bytes(job)

    def value(self) -> dict[str, Any]:
        """The page's value as it is recorded.

        For each job it has the finished ranges (d) and the claims (a: task -> attempt, machine); for each machine with
        claims its zone, address, machine type and whether it is a spot machine. A new leader needs these to contact the
        machines during a cloud outage.
        """
        value: dict[str, Any] = {}
        for job, tasks in self.done.items():
            value.setdefault(job.uid, {})["d"] = ranges(tasks)
        hosts: dict[str, list[Any]] = {}
        for claim in self.claims:
            claims = value.setdefault(claim.job.uid, {}).setdefault("a", {})
            claims[str(claim.index)] = [claim.attempt, claim.host]
            hosts[claim.host] = claim.host_record
        if hosts:
            value[HOSTS] = hosts
        return value


def host_bytes(claim: Claim) -> int:
    """Bytes that the entry of a claim's machine takes on a page."""
    return len(encode(claim.host)) + len(encode(claim.host_record)) + 2


def claim_bytes(claim: Claim) -> int:
    """Bytes that a claim takes on a page that has its job and machine already."""
    return len(str(claim.index)) + len(str(claim.attempt)) + len(encode(claim.host)) + 7


def job_bytes(job: Job) -> int:
    """Bytes that a job takes on a page, without its claims and ranges."""
    return len(job.uid) + 20


class Pages:
    """All pages, numbered without gaps."""

    def __init__(self, max_page_bytes: int) -> None:
        self.pages: list[Page] = []
        # Pages may be larger if they were written before the state service's limit was lowered. They are read, and
        # rewritten once their live content fits; until then changes go to other pages.
        self.max_page_bytes = max_page_bytes
        self.dirty: set[Page] = set()
        self.write_failed: set[Page] = set()  # pages with unrecorded content, as their last write failed

    def load(self, number: int, key_revision: int) -> Page:
        """Add a recorded page in a takeover, creating the pages before it."""
        while len(self.pages) <= number:
            self.pages.append(Page(len(self.pages)))
        self.pages[number].key_revision = key_revision
        return self.pages[number]

    def page_of(self, claim: Claim) -> Page | None:
        """The page that holds the claim, if any."""
        return None if claim.page is None else self.pages[claim.page]

    def can_hold(self, machine: Machine) -> bool:
        """Whether a claim for the machine fits on a page, given the length of its name and address."""
        if (
            MAX_CHARACTER_BYTES * (2 * len(machine.host) + len(machine.endpoint) + len(machine.zone))
            < self.max_page_bytes / 2
        ):
            return True
        return (
            2 * len(encode(machine.host)) + len(encode(machine.host_record())) + ONE_CLAIM_PAGE_BYTES
            < self.max_page_bytes
        )

    def large(self) -> Page | None:
        """The oversized page, too large to be written, with the least live content, if any."""
        return min(
            (page for page in self.pages if page.size > self.max_page_bytes), key=lambda page: page.size, default=None
        )

    def ended(self, claim: Claim, done: bool) -> None:
        """Remove a claim that has ended.

        If the task is done, recording that supersedes the recorded claim. Otherwise the page has to be rewritten at
        some time.
        """
        page = self.page_of(claim)
        if page is not None:
            page.drop_claim(claim)
            if not done:
                self.mark_dirty(page)

    def mark_dirty(self, page: Page) -> None:
        """Note that a page's record is out of date."""
        page.dirty = True
        self.dirty.add(page)

    def forget_job(self, job: Job) -> None:
        """Remove the finished tasks of a job that has a final state."""
        for page in self.pages:
            if job in page.done:
                page.drop_job(job)

    def emptiest(self, excluded: set[Page]) -> Page:
        """Return the page for new content: the one with the least live content, dirty ones first, or a new one."""
        candidates = [page for page in self.pages if page not in excluded]
        emptiest_page = min(candidates, key=lambda page: (not page.dirty, page.size), default=None)
        if emptiest_page is not None and emptiest_page.size > self.max_page_bytes / 2:
            emptiest_page = min(candidates, key=lambda page: page.size)
        if emptiest_page is None or emptiest_page.size > self.max_page_bytes / 2:
            emptiest_page = Page(len(self.pages))
            self.pages.append(emptiest_page)
        return emptiest_page


def encoded_size(page: Page) -> int:
    """The size of the page's value on the wire, in bytes."""
    return len(encode(page.value()))
