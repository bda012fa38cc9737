"""Run time and deadline estimates, and the order of jobs that follows from them."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.estimates import Estimates
from ladderfield.queues.work import Job
from ladderfield.testing import job, settings


def make(uid: str, at: float = 0.0, **changes: Any) -> Job:
    """A job of the given id, accepted at the given time."""
    return Job(msgspec.convert(job(uid, **changes), JobSpec), at, 256)


def test_jobs_that_can_be_on_time_go_first_by_least_work() -> None:
    """Ordered by due time alone, large jobs made every later job miss its deadline under overload."""
    estimates = Estimates(settings())
    large = make("req-000001", rungs=40, dueS=60.0)
    small = make("req-000002", rungs=2, dueS=90.0)
    late = make("req-000003", rungs=1, dueS=3.0)
    order = sorted([late, large, small], key=lambda job: estimates.rating(job, 10.0))
    assert order == [small, large, late]


def test_run_times_of_a_class_correct_misleading_estimates() -> None:
    estimates = Estimates(settings())
    measured = make("req-000001", expectS=10.0)
    for _ in range(100):
        estimates.finished(measured.spec, 30.0)
    assert 28 < estimates.run_s(make("req-000002", expectS=10.0)) < 31
    assert estimates.run_s(make("req-000003", expectS=10.0, jobclass="other")) == 10.0
    measured.run_times_s = [12.0, 20.0, 14.0]
    assert estimates.run_s(measured) == 14.0, "the median of the job's own tasks"


def test_arrivals_expire_after_the_window() -> None:
    estimates = Estimates(settings())
    spec = make("req-000001", shape="daemon").spec
    for at in range(12):
        estimates.job_accepted(make("req-000001", float(at), shape="daemon"))
    assert estimates.arrival_rate((spec.job_class, spec.image), 12.0) == 0.1
    assert estimates.arrival_rate((spec.job_class, spec.image), 200.0) == 0.0


def test_a_restart_counts_where_the_job_then_misses_a_deadline() -> None:
    """Replicas preempted arrays that were nearly done and then missed their deadlines."""
    estimates = Estimates(settings())
    due = make("req-000001", expectS=10.0, dueS=15.0)
    assert not estimates.restart_misses_deadline(due, 3.0, 4.0), "there is time for a restart"
    assert estimates.restart_misses_deadline(due, 8.0, 9.0)
    assert not estimates.restart_misses_deadline(due, 3.0, 30.0), "late in either case"
