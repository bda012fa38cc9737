"""Dependencies between jobs: readiness, cancellation with another job, inherited rank and due time.

All of it is derived from records, so every controller comes to the same result without a leader:

- A job is ready once the final record of every job that it needs says done. A final record is written once and never
  changes, so a job that needs a cancelled one can never have started a task.
- A job is cancelled if its own final record, or that of any job it needs directly or indirectly, says so.
- A job inherits the urgency of the most urgent job that needs it, as long as that one has not ended.

Nothing here is recursive, and the cost of a query does not depend on the length of a chain: results are updated with
every change.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from ladderfield.changes import Change
from ladderfield.jobs.descriptions import AcceptedJob, RecordedJobs, jobs_in_record
from ladderfield.jobs.model import CANCELLED, DONE, FINAL_PREFIX, JOB_PREFIX, PRODUCTION, RANKS, URGENT, JobSpec

log = logging.getLogger(__name__)

PROPAGATION_STEPS = 8  # for each job; more are needed only if records contain a cycle


class UnreadableRecordError(Exception):
    """A record has jobs that can't be read, so the graph lacks them."""


class Due(NamedTuple):
    """A due time: the time of day, and its distance in seconds from the submission that set it."""

    at: float
    allowed_s: float


class JobNode:
    """A recorded job in the dependency graph."""

    __slots__ = ("due", "estimate_s", "needs", "own_urgency", "rank", "records", "service")

    def __init__(self, spec: JobSpec, at: float) -> None:
        self.needs: tuple[str, ...] = tuple(spec.needs or ())
        self.service = spec.service
        self.estimate_s = spec.estimate_s
        due = None if spec.deadline_s is None else Due(at + spec.deadline_s, spec.deadline_s)
        self.own_urgency: tuple[int, Due | None] = (RANKS[spec.rank], due)
        self.rank, self.due = self.own_urgency  # own urgency combined with what it inherits
        self.records: set[str] = set()


class DependencyGraph:
    """Follows job records and final records; ``get`` reads the current value of a record."""

    def __init__(self, get: Callable[[str], Any]) -> None:
        self._get = get
        self._nodes: dict[str, JobNode] = {}
        self._jobs_by_record: dict[str, list[str]] = {}  # key of a record -> its jobs
        self._dependents: dict[str, dict[str, None]] = {}  # job -> jobs that need it directly, in order of arrival
        self._cancelled_indirectly: set[str] = set()  # cancelled with a job they need, still without a final record

    def apply_change(self, change: Change) -> None:
        """Handles a changed record."""
        if change.key.startswith(JOB_PREFIX):
            for uid in self._jobs_by_record.pop(change.key, ()):
                self._remove_from_record(uid, change.key)
            if change.value is not None:
                self._add_record(change.key, self.jobs_in_record(change.key, change.value))
        elif change.key.startswith(FINAL_PREFIX) and change.value is not None:
            uid = change.key.removeprefix(FINAL_PREFIX)
            self._cancelled_indirectly.discard(uid)
            if change.value["phase"] == CANCELLED:
                self._cancel_with_dependents(self._dependents.get(uid, ()))
            node = self._nodes.get(uid)
            if node is not None:
                self._propagate_urgency(node.needs)  # an ended job passes on no urgency

    def jobs_in_record(self, key: str, value: dict[str, Any]) -> RecordedJobs:
        """The accepted jobs in a record."""
        return jobs_in_record(key, value, self._get)

    def _add_record(self, key: str, recorded: RecordedJobs) -> None:
        """Adds the jobs of a record; raises UnreadableRecordError if it could not add all."""
        self._jobs_by_record[key] = list(recorded.jobs)
        for uid, accepted in recorded.jobs.items():
            self._add_to_record(uid, accepted, key)
        if recorded.unreadable:
            raise UnreadableRecordError(f"{key} has jobs that can't be read: {recorded.unreadable}")

    def _add_to_record(self, uid: str, accepted: AcceptedJob, record: str) -> None:
        node = self._nodes.get(uid)
        if node is None:
            node = self._nodes[uid] = JobNode(accepted.spec, accepted.at)
            for need in node.needs:
                self._dependents.setdefault(need, {})[uid] = None
            if any(self.cancelled(need) for need in node.needs):
                self._cancel_with_dependents([uid])
            if node.needs or uid in self._dependents:
                self._propagate_urgency([uid, *node.needs])
        node.records.add(record)

    def _remove_from_record(self, uid: str, record: str) -> None:
        """Removes a job from a record. The job leaves the graph when no other record holds it."""
        node = self._nodes[uid]
        node.records.discard(record)
        if node.records:
            return
        del self._nodes[uid]
        self._cancelled_indirectly.discard(uid)
        for need in node.needs:
            dependents = self._dependents[need]
            dependents.pop(uid, None)
            if not dependents:
                del self._dependents[need]

    def _cancel_with_dependents(self, uids: Iterable[str]) -> None:
        """Marks these jobs and all their direct and indirect dependents as cancelled."""
        queue = deque(uids)
        while queue:
            uid = queue.popleft()
            if uid not in self._cancelled_indirectly and uid in self._nodes and self._phase(uid) is None:
                self._cancelled_indirectly.add(uid)
                queue.extend(self._dependents.get(uid, ()))

    def _propagate_urgency(self, uids: Iterable[str]) -> None:
        """Recomputes the urgency of these jobs and, where it changes, of the jobs that they need."""
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
        log.warning("dependency cycle between jobs: %s", ", ".join(list(queue)[:4]))

    def _urgency_from_dependents(self, uid: str, node: JobNode) -> tuple[int, Due | None]:
        """Most urgent rank and due time among a job and its dependents that have not ended."""
        rank, due = node.own_urgency
        for dependent in self._dependents.get(uid, ()):
            other = self._nodes.get(dependent)
            if other is None or self._phase(dependent) is not None:
                continue
            rank = min(rank, max(other.rank, RANKS[URGENT])) if rank > RANKS[PRODUCTION] else rank
            if other.due is not None:
                due_for_dependent = Due(other.due.at - other.estimate_s, other.due.allowed_s)
                due = due_for_dependent if due is None else min(due, due_for_dependent)
        return rank, due

    def _phase(self, uid: str) -> str | None:
        record = self._get(FINAL_PREFIX + uid)
        return None if record is None else record["phase"]

    def __contains__(self, uid: str) -> bool:
        """Whether a record holds the job: it was accepted, and its record is not deleted yet."""
        return uid in self._nodes

    def first_unknown(self, needs: Iterable[str]) -> str | None:
        """The first of these jobs that is not known to have been accepted; None if all are."""
        return next((uid for uid in needs if uid not in self._nodes and self._phase(uid) is None), None)

    def is_active_service(self, uid: str) -> bool:
        """Whether the job is a service that has not ended; no job can wait for it."""
        node = self._nodes.get(uid)
        return node is not None and node.service and self._phase(uid) is None

    def cancelled(self, uid: str) -> bool:
        """Whether the job is cancelled, directly or through a job that it needs."""
        return uid in self._cancelled_indirectly or self._phase(uid) == CANCELLED

    def unmet(self, needs: Iterable[str]) -> set[str]:
        """Those of the needed jobs without a final record that says done."""
        return {uid for uid in needs if self._phase(uid) != DONE}

    def ready_at(self, needs: Iterable[str]) -> float:
        """Time of day at which the last of these jobs ended; 0 if none has a final record."""
        return max((record.get("at", 0.0) for uid in needs if (record := self._get(FINAL_PREFIX + uid))), default=0.0)

    def urgency(self, uid: str) -> tuple[int, Due | None]:
        """The job's effective rank and due time, including what it inherits from its dependents."""
        node = self._nodes[uid]
        return node.rank, node.due

    def dependents(self, uid: str) -> list[str]:
        """Jobs that need this one directly."""
        return list(self._dependents.get(uid, ()))

    def all_dependents(self, uid: str) -> Iterator[str]:
        """Jobs that need this one, directly or indirectly."""
        return self._walk(uid, self.dependents)

    def all_dependencies(self, uid: str) -> Iterator[str]:
        """Jobs that this one needs, directly or indirectly."""
        return self._walk(uid, lambda need: self._nodes[need].needs if need in self._nodes else ())

    @staticmethod
    def _walk(uid: str, step: Callable[[str], Iterable[str]]) -> Iterator[str]:
        seen, queue = {uid}, deque(step(uid))
        while queue:
            found = queue.popleft()
            if found not in seen:
                seen.add(found)
                yield found
                queue.extend(step(found))
