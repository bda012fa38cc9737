"""Jobs that wait for others: which are ready, which are cancelled with another, what rank and due time each inherits.

All of it is derived from what is on record, so every controller comes to the same answer with no leader:

- a job is ready once the final record of every job that it needs says done. That record is decided once and for good,
  so a job behind a cancelled one can never have had a task;
- it is cancelled if it, or any job it needs, directly or through others, has a final record that says so;
- it is as urgent as the most urgent job that waits for it, as long as that one is not over.

Nothing here is recursive, and what a question costs does not depend on how long a chain is: the answers are kept up to
date change by change.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from ladderfield.jobs.model import CANCELLED, DONE, FINAL, JOB, PRODUCTION, RANKS, URGENT, jobs_on
from ladderfield.view import Change

log = logging.getLogger(__name__)

PROPAGATION_STEPS = 8  # for each job on record: more can't be needed, unless records contradict each other


class Due(NamedTuple):
    """A due time: time of day, and how many seconds that is after a submission."""

    at: float
    allowed_s: float


class JobNode:
    """A job that is not over, among those it needs and those that need it."""

    __slots__ = ("due", "needs", "own", "rank", "records", "run_s", "service")

    def __init__(self, spec: dict[str, Any], at: float) -> None:
        self.needs: tuple[str, ...] = tuple(spec.get("waitsOn") or ())
        self.service = spec["shape"] == "daemon"
        self.run_s = float(spec["expectS"])
        allowed = spec.get("dueS")
        due = None if allowed is None else Due(at + allowed, allowed)
        self.own: tuple[int, Due | None] = (RANKS[spec["rank"]], due)
        self.rank, self.due = self.own  # the same with what it inherits
        self.records: set[str] = set()


class DependencyGraph:
    """Follows the records of jobs and of their ends; ``get`` reads a record's present value."""

    def __init__(self, get: Callable[[str], Any]) -> None:
        self._get = get
        self._nodes: dict[str, JobNode] = {}
        self._jobs_on: dict[str, list[str]] = {}  # record -> jobs
        self._dependents: dict[str, dict[str, None]] = {}  # job -> those that name it
        self._cancelled_with: set[str] = set()  # cancelled with another, without a final record of their own yet

    def take(self, change: Change) -> None:
        """A record changed."""
        if change.key.startswith(JOB):
            for uid in self._jobs_on.pop(change.key, ()):
                self._gone(uid, change.key)
            if change.value is not None:
                jobs = jobs_on(change.key, change.value)
                self._jobs_on[change.key] = list(jobs)
                for uid, entry in jobs.items():
                    self._accepted(uid, entry, change.key)
        elif change.key.startswith(FINAL) and change.value is not None:
            uid = change.key.removeprefix(FINAL)
            self._cancelled_with.discard(uid)
            if change.value["phase"] == CANCELLED:
                self._cancel_all(self._dependents.get(uid, ()))
            node = self._nodes.get(uid)
            if node is not None:
                self._propagate_urgency(node.needs)  # it needs them no more

    def _accepted(self, uid: str, entry: dict[str, Any], record: str) -> None:
        node = self._nodes.get(uid)
        if node is None:
            node = self._nodes[uid] = JobNode(entry["spec"], entry["at"])
            for need in node.needs:
                self._dependents.setdefault(need, {})[uid] = None
            if any(self.cancelled(need) for need in node.needs):
                self._cancel_all([uid])
            if node.needs or uid in self._dependents:
                self._propagate_urgency([uid, *node.needs])
        node.records.add(record)

    def _gone(self, uid: str, record: str) -> None:
        """A record no longer names it: it is over, unless another record does."""
        node = self._nodes[uid]
        node.records.discard(record)
        if node.records:
            return
        del self._nodes[uid]
        self._cancelled_with.discard(uid)
        for need in node.needs:
            after = self._dependents[need]
            after.pop(uid, None)
            if not after:
                del self._dependents[need]

    def _cancel_all(self, uids: Iterable[str]) -> None:
        """These are cancelled, and with them all that wait for them."""
        queue = deque(uids)
        while queue:
            uid = queue.popleft()
            if uid not in self._cancelled_with and uid in self._nodes and self._phase(uid) is None:
                self._cancelled_with.add(uid)
                queue.extend(self._dependents.get(uid, ()))

    def _propagate_urgency(self, uids: Iterable[str]) -> None:
        """Work out anew how urgent these are and, where that changes, those that they need."""
        queue = deque(uids)
        for _ in range(PROPAGATION_STEPS * (len(self._nodes) + PROPAGATION_STEPS)):
            if not queue:
                return
            uid = queue.popleft()
            node = self._nodes.get(uid)
            if node is None:
                continue
            rank, due = self._urgency_from_dependents(uid, node)
            if (rank, due) != (node.rank, node.due):
                node.rank, node.due = rank, due
                queue.extend(node.needs)
        log.warning("jobs wait for each other in a circle: %s", ", ".join(list(queue)[:4]))

    def _urgency_from_dependents(self, uid: str, node: JobNode) -> tuple[int, Due | None]:
        """The rank and due time of a job and of those that wait for it and are not over."""
        rank, due = node.own
        for later in self._dependents.get(uid, ()):
            other = self._nodes.get(later)
            if other is None or self._phase(later) is not None:
                continue
            rank = min(rank, max(other.rank, RANKS[URGENT])) if rank > RANKS[PRODUCTION] else rank
            if other.due is not None:
                before = Due(other.due.at - other.run_s, other.due.allowed_s)
                due = before if due is None else min(due, before)
        return rank, due

    def _phase(self, uid: str) -> str | None:
        record = self._get(FINAL + uid)
        return None if record is None else record["phase"]

    def __contains__(self, uid: str) -> bool:
        """Whether the job stands on a record: it is accepted, and not yet cleared away."""
        return uid in self._nodes

    def unknown(self, needs: Iterable[str]) -> str | None:
        """One of these that was never accepted, as far as is known here."""
        return next((uid for uid in needs if uid not in self._nodes and self._phase(uid) is None), None)

    def service(self, uid: str) -> bool:
        """Whether it is a service that goes on, which can never be waited for."""
        node = self._nodes.get(uid)
        return node is not None and node.service and self._phase(uid) is None

    def cancelled(self, uid: str) -> bool:
        """Whether the job is cancelled, or with another that it needs."""
        return uid in self._cancelled_with or self._phase(uid) == CANCELLED

    def unmet(self, needs: Iterable[str]) -> set[str]:
        """Those of the needed jobs that are not, on record, done."""
        return {uid for uid in needs if self._phase(uid) != DONE}

    def ready_at(self, needs: Iterable[str]) -> float:
        """When the last of these ended, as time of day; 0 if nothing tells."""
        return max((record.get("at", 0.0) for uid in needs if (record := self._get(FINAL + uid))), default=0.0)

    def urgency(self, uid: str) -> tuple[int, Due | None]:
        """The rank and the due time that a job has for those that wait for it."""
        node = self._nodes[uid]
        return node.rank, node.due

    def after(self, uid: str) -> list[str]:
        """The jobs that name this one."""
        return list(self._dependents.get(uid, ()))

    def all_after(self, uid: str) -> Iterator[str]:
        """All that wait for the job, directly or through others."""
        return self._walk(uid, self.after)

    def all_before(self, uid: str) -> Iterator[str]:
        """All on record that the job waits for, directly or through others."""
        return self._walk(uid, lambda one: self._nodes[one].needs if one in self._nodes else ())

    @staticmethod
    def _walk(uid: str, step: Callable[[str], Iterable[str]]) -> Iterator[str]:
        seen, queue = {uid}, deque(step(uid))
        while queue:
            one = queue.popleft()
            if one not in seen:
                seen.add(one)
                yield one
                queue.extend(step(one))
