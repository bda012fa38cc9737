"""What is expected of jobs, and the order that follows from it."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.estimates import Estimates
from ladderfield.queues.work import Job
from ladderfield.testing import job, settings


def make(uid: str, at: float = 0.0, **changes: Any) -> Job:
    """A job."""
    return Job(msgspec.convert(job(uid, **changes), JobSpec), at, 256)


def test_what_can_be_on_time_goes_first_and_least_work_first() -> None:
    """Days flood-*: by due time alone, large jobs made all that came after them late."""
    estimates = Estimates(settings())
    large = make("req-000001", rungs=40, dueS=60.0)
    small = make("req-000002", rungs=2, dueS=90.0)
    late = make("req-000003", rungs=1, dueS=3.0)
    order = sorted([late, large, small], key=lambda one: estimates.rating(one, 10.0))
    assert order == [small, large, late]


def test_misleading_estimates_are_set_right_by_what_their_class_ran() -> None:
    estimates = Estimates(settings())
    one = make("req-000001", expectS=10.0)
    for _ in range(100):
        estimates.finished(one.spec, 30.0)
    assert 28 < estimates.run_s(make("req-000002", expectS=10.0)) < 31
    assert estimates.run_s(make("req-000003", expectS=10.0, jobclass="other")) == 10.0
    one.finished_s = [12.0, 20.0, 14.0]
    assert estimates.run_s(one) == 14.0, "its own tasks know best"


def test_arrivals_fade() -> None:
    estimates = Estimates(settings())
    spec = make("req-000001", shape="daemon").spec
    for at in range(12):
        estimates.arrived(make("req-000001", float(at), shape="daemon"))
    assert estimates.rate((spec.job_class, spec.image), 12.0) == 0.1
    assert estimates.rate((spec.job_class, spec.image), 200.0) == 0.0


def test_work_is_harmed_by_beginning_anew_where_its_job_then_misses_an_aim() -> None:
    """Daftar's calm day: replicas took room from arrays that were nearly done and then late."""
    estimates = Estimates(settings())
    due = make("req-000001", expectS=10.0, dueS=15.0)
    assert not estimates.harmed(due, 3.0, 4.0), "there is time for both"
    assert estimates.harmed(due, 8.0, 9.0)
    assert not estimates.harmed(due, 3.0, 30.0), "late whatever happens"
