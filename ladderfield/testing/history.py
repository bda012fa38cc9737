"""Checks a history of what machines ran and what users were answered against the scheduler's guarantees.

Nothing here reads a controller's state. A ``Run`` is one attempt on one machine and an ``Answer`` is one answer to one
user; both carry times of the same clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

FINAL_PHASES = ("done", "cancelled")
KNOWN_STATUSES = (200, 201)
UNKNOWN_STATUSES = (400, 404, 422)


@dataclass(frozen=True)
class Run:
    """One attempt of a task on one machine."""

    task: str
    host: str
    attempt: int
    begin: float
    end: float = math.inf

    @property
    def job(self) -> str:
        """The job that the task belongs to."""
        return self.task.partition("/")[0]


@dataclass(frozen=True)
class Answer:
    """An answer about a job, with the times of its request and its arrival."""

    job: str
    asked_at: float
    answered_at: float
    status: int
    phase: str


@dataclass(frozen=True)
class Violation:
    """A rule that the history violates."""

    rule: str
    detail: str


def find_violations(runs: Iterable[Run], answers: Iterable[Answer], cancel_s: float, grace_s: float) -> list[Violation]:
    """All violations in a history.

    ``grace_s`` is how long after a confirmed cancellation a task may still start from an order that was in flight.
    """
    runs, answers_by_job = list(runs), _group_by_job(answers)
    result = [*_concurrent_runs(runs), *_after_cancellation(runs, answers_by_job, cancel_s, grace_s)]
    for job, job_answers in answers_by_job.items():
        result += _contradictions(job, job_answers)
        result += _runs_after_done(job, job_answers, runs)
    return result


def _group_by_job(answers: Iterable[Answer]) -> dict[str, list[Answer]]:
    answers_by_job: dict[str, list[Answer]] = defaultdict(list)
    for answer in sorted(answers, key=lambda answer: answer.answered_at):
        answers_by_job[answer.job].append(answer)
    return answers_by_job


def _concurrent_runs(runs: list[Run]) -> list[Violation]:
    runs_by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: (run.begin, run.end)):
        runs_by_task[run.task].append(run)
    return [
        Violation("ran_twice", f"{before} {after}")
        for task_runs in runs_by_task.values()
        for before, after in pairwise(task_runs)
        if after.begin < before.end
    ]


def _cancellation_confirmed_at(answers: list[Answer]) -> float:
    return min(
        (answer.answered_at for answer in answers if answer.status in KNOWN_STATUSES and answer.phase == "cancelled"),
        default=math.inf,
    )


def _after_cancellation(
    runs: list[Run], answers_by_job: dict[str, list[Answer]], cancel_s: float, grace_s: float
) -> list[Violation]:
    result = []
    for run in runs:
        confirmed = _cancellation_confirmed_at(answers_by_job.get(run.job, []))
        if run.begin > confirmed + grace_s:
            result.append(Violation("started_cancelled", f"{run}, cancelled at {confirmed:.1f}"))
        elif run.end > confirmed + cancel_s:
            result.append(Violation("ran_cancelled", f"{run}, cancelled at {confirmed:.1f}"))
    return result


def _contradictions(job: str, answers: list[Answer]) -> list[Violation]:
    """Answers that contradict one received before their request, and jobs with two different final phases."""
    known = [answer for answer in answers if answer.status in KNOWN_STATUSES]
    finals = {answer.phase for answer in known if answer.phase in FINAL_PHASES}
    result = [Violation("two_finals", f"{job}: {sorted(finals)}")] if len(finals) > 1 else []
    first_known = min((answer.answered_at for answer in known), default=math.inf)
    first_final = min((answer.answered_at for answer in known if answer.phase in FINAL_PHASES), default=math.inf)
    for answer in answers:
        if answer.status in UNKNOWN_STATUSES and answer.asked_at > first_known:
            result.append(Violation("forgotten", f"{answer}"))
        if answer.status in KNOWN_STATUSES and answer.phase not in FINAL_PHASES and answer.asked_at > first_final:
            result.append(Violation("went_back", f"{answer}"))
    return result


def _runs_after_done(job: str, answers: list[Answer], runs: list[Run]) -> list[Violation]:
    done_at = min(
        (answer.answered_at for answer in answers if answer.status in KNOWN_STATUSES and answer.phase == "done"),
        default=math.inf,
    )
    late = [run for run in runs if run.job == job and done_at < math.inf and run.end > done_at]
    return [Violation("not_done", f"{run}, reported done at {done_at:.1f}") for run in late[:1]]
