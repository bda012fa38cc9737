"""Decides from records of what machines ran and what users were told whether any rule was broken.

Nothing here looks into a controller. ``Run`` is one attempt on one machine, ``Told`` one answer to one user; both carry
times of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

FINAL = ("done", "cancelled")
KNOWN = (200, 201)
UNKNOWN = (400, 404, 422)


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
class Told:
    """An answer about a job, and when its question was asked and it came."""

    job: str
    asked: float
    at: float
    status: int
    phase: str


@dataclass(frozen=True)
class Fault:
    """A rule that the history breaks."""

    rule: str
    what: str


def faults(runs: Iterable[Run], answers: Iterable[Told], cancel_s: float, grace_s: float) -> list[Fault]:
    """All that is wrong with a history.

    ``grace_s`` is how long after a confirmed cancellation a start may still come from an order that was under way.
    """
    runs, by_job = list(runs), _by_job(answers)
    result = [*_twice(runs), *_after_cancellation(runs, by_job, cancel_s, grace_s)]
    for job, told in by_job.items():
        result += _contradictions(job, told)
        result += _not_done(job, told, runs)
    return result


def _by_job(answers: Iterable[Told]) -> dict[str, list[Told]]:
    by_job: dict[str, list[Told]] = defaultdict(list)
    for answer in sorted(answers, key=lambda one: one.at):
        by_job[answer.job].append(answer)
    return by_job


def _twice(runs: list[Run]) -> list[Fault]:
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda one: (one.begin, one.end)):
        by_task[run.task].append(run)
    return [
        Fault("ran_twice", f"{before} {after}")
        for all_runs in by_task.values()
        for before, after in pairwise(all_runs)
        if after.begin < before.end
    ]


def _confirmed_at(told: list[Told]) -> float:
    return min((one.at for one in told if one.status in KNOWN and one.phase == "cancelled"), default=math.inf)


def _after_cancellation(runs: list[Run], by_job: dict[str, list[Told]], cancel_s: float, grace_s: float) -> list[Fault]:
    result = []
    for run in runs:
        confirmed = _confirmed_at(by_job.get(run.job, []))
        if run.begin > confirmed + grace_s:
            result.append(Fault("started_cancelled", f"{run}, cancelled at {confirmed:.1f}"))
        elif run.end > confirmed + cancel_s:
            result.append(Fault("ran_cancelled", f"{run}, cancelled at {confirmed:.1f}"))
    return result


def _contradictions(job: str, told: list[Told]) -> list[Fault]:
    """An answer that is older than one that was there before it was asked for; two final answers."""
    known = [one for one in told if one.status in KNOWN]
    finals = {one.phase for one in known if one.phase in FINAL}
    result = [Fault("two_finals", f"{job}: {sorted(finals)}")] if len(finals) > 1 else []
    first_known = min((one.at for one in known), default=math.inf)
    first_final = min((one.at for one in known if one.phase in FINAL), default=math.inf)
    for one in told:
        if one.status in UNKNOWN and one.asked > first_known:
            result.append(Fault("forgotten", f"{one}"))
        if one.status in KNOWN and one.phase not in FINAL and one.asked > first_final:
            result.append(Fault("went_back", f"{one}"))
    return result


def _not_done(job: str, told: list[Told], runs: list[Run]) -> list[Fault]:
    done_at = min((one.at for one in told if one.status in KNOWN and one.phase == "done"), default=math.inf)
    late = [run for run in runs if run.job == job and done_at < math.inf and run.end > done_at]
    return [Fault("not_done", f"{run}, called done at {done_at:.1f}") for run in late[:1]]
