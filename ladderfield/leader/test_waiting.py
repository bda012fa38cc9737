"""Jobs that wait for others: none starts early or after a cancelled one, and none uses resources while it waits."""

from __future__ import annotations

from typing import Any

from ladderfield.fleet.plan import Planner
from ladderfield.testing import accepted, job
from ladderfield.testing.leader import EPOCH_NOW, MACHINE_RECORD, SchedulerHarness, reported_task

A, B, C = "req-000001", "req-000002", "req-000003"


def pipeline(**last: Any) -> SchedulerHarness:
    """Three jobs of one task each, each waiting for the one before it."""
    harness = SchedulerHarness()
    harness.submit(A, rungs=1)
    harness.submit(B, rungs=1, waitsOn=[A])
    harness.submit(C, rungs=1, waitsOn=[B], **last)
    return harness


def claimed(harness: SchedulerHarness) -> set[str]:
    """The jobs with claimed tasks."""
    return {task[0] for machine in harness.scheduler.machines.values() for task in machine.claims}


def finish(harness: SchedulerHarness, uid: str, now: float) -> None:
    """Run the job's only task to its end."""
    claim = harness.scheduler.jobs[uid].claims[0]
    harness.write_records(now)
    harness.report(now=now)
    harness.report(tasks=(reported_task(0, claim.attempt, uid=uid),), now=now)
    harness.report(tasks=(reported_task(0, claim.attempt, "exited", "done", uid=uid),), now=now)


def test_each_stage_starts_only_once_the_end_of_the_stage_before_is_recorded() -> None:
    harness = pipeline()
    harness.report()
    assert claimed(harness) == {A}
    finish(harness, A, 2.0)
    harness.scheduler.schedule(2.0)
    assert claimed(harness) == set(), "the end of A is not recorded yet"
    harness.write_records(3.0)
    harness.scheduler.schedule(3.0)
    assert claimed(harness) == {B} and harness.scheduler.jobs[B].ready_since == 3.0
    finish(harness, B, 4.0)
    harness.write_records(4.0)
    harness.scheduler.schedule(4.0)
    assert claimed(harness) == {C}


def test_a_takeover_before_the_final_record_starts_no_dependent_early() -> None:
    data = {
        f"lf/j/{A}": (accepted(job(A, rungs=1)), 4),
        f"lf/j/{B}": (accepted(job(B, rungs=1, waitsOn=[A])), 5),
        "lf/p/0": ({A: {"d": [[0, 0]]}}, 6),
    }
    harness = SchedulerHarness(data)
    harness.report()
    assert claimed(harness) == set()
    harness.write_records(2.0)
    harness.scheduler.schedule(2.0)
    assert claimed(harness) == {B}


def test_an_existing_final_record_is_read_before_dependents_start_or_are_cancelled() -> None:
    """The final record may come from a late copy of our own write or from a late cancellation; only its value tells."""
    for phase in ("done", "cancelled"):
        harness = pipeline()
        harness.report()
        finish(harness, A, 2.0)
        txn = harness.ledger.collect(True)
        assert txn is not None and [job.uid for job in txn.finals] == [A]
        harness.ledger.retry_with_revisions(txn, {f"lf/f/{A}": 17})
        harness.scheduler.schedule(2.0)
        assert claimed(harness) == set() and not harness.scheduler.cancelled_dependents
        harness.record_final_state(A, phase)
        harness.scheduler.schedule(2.0)
        assert claimed(harness) == ({B} if phase == "done" else set())
        assert {job.uid for job in harness.scheduler.cancelled_dependents} == (
            {B, C} if phase == "cancelled" else set()
        )


def test_dependents_of_a_cancelled_job_get_a_final_record_and_are_removed() -> None:
    harness = pipeline()
    harness.report()
    harness.record_final_state(A, "cancelled")
    harness.submit("req-000004", waitsOn=[C])  # submitted after C was cancelled
    harness.write_records(2.0)
    assert {B, C, "req-000004"}.isdisjoint(claimed(harness))
    for uid in (B, C, "req-000004"):
        assert harness.scheduler.jobs[uid].final_phase == "cancelled"
        harness.record_final_state(uid, "cancelled")
    assert set(harness.scheduler.jobs) <= {A}


def test_many_cancelled_dependents_are_written_in_bounded_transactions() -> None:
    harness = SchedulerHarness()
    harness.submit(A)
    for number in range(100, 150):
        harness.submit(f"req-{number:06}", waitsOn=[A])
    harness.record_final_state(A, "cancelled")
    harness.ledger.max_ops = 5
    sizes = []
    while (txn := harness.ledger.collect(True)) is not None:
        sizes.append(txn.ops)
        assert len(txn.guards) <= 4 * 5
        harness.ledger.applied(txn, 20 + len(sizes), 2.0)
    assert max(sizes) <= 5 and sum(sizes) >= 50


def test_a_waiting_job_takes_no_queue_quota_or_rental() -> None:
    harness = pipeline(rank="best_effort")
    harness.submit("req-000009", waitsOn=[A], rungs=500, owner="blue")
    harness.report()
    harness.write_records()
    planner = Planner(harness.scheduler)
    assert planner.rentals(2.0) == [] and harness.scheduler.teams.cpus["blue"] == 0.0
    assert all(
        not waiting.queued and not waiting.unqueued for uid, waiting in harness.scheduler.jobs.items() if uid != A
    )


def test_a_successor_restores_ready_time_and_inherited_urgency() -> None:
    data = {
        f"lf/j/{B}": (accepted(job(B, waitsOn=[A], rank="best_effort"), at=900.0), 5),
        f"lf/j/{C}": (accepted(job(C, waitsOn=[B], rank="urgent", dueS=200.0), at=900.0), 5),
        f"lf/f/{A}": ({"phase": "done", "at": 990.0}, 6),
    }
    restored = SchedulerHarness(data).scheduler.jobs[B]
    assert (restored.ready_since, restored.accepted_at, restored.order, restored.due) == (
        -10.0,
        -100.0,
        (1,),
        (1095.0, 200.0),
    )


def test_a_job_that_an_urgent_job_waits_for_goes_first() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000000", rank="standard", owner="blue", rungs=2)
    harness.submit(A, rank="best_effort", owner="blue", rungs=1)
    harness.submit(B, rank="urgent", owner="blue", waitsOn=[A], dueS=60.0)
    harness.report()
    assert A in claimed(harness)


def test_a_waiting_job_survives_a_takeover_while_the_job_it_needs_runs() -> None:
    data = {
        f"lf/j/{A}": (accepted(job(A, rungs=1)), 4),
        f"lf/j/{B}": (accepted(job(B, rungs=1, waitsOn=[A])), 5),
        "lf/p/0": ({"hosts": {"m": MACHINE_RECORD}, A: {"a": {"0": [(EPOCH_NOW - 1) << 32, "m"]}}}, 6),
    }
    harness = SchedulerHarness(data)
    harness.report(tasks=(reported_task(0, (EPOCH_NOW - 1) << 32, uid=A),))
    assert claimed(harness) == {A} and B in harness.scheduler.jobs
    harness.report(tasks=(reported_task(0, (EPOCH_NOW - 1) << 32, "exited", "done", uid=A),), now=2.0)
    assert claimed(harness) == set()
    harness.write_records(3.0)
    harness.scheduler.schedule(3.0)
    assert claimed(harness) == {B}
