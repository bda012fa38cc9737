"""When a claim may begin, when it ends, and what workers are told."""

from __future__ import annotations

from ladderfield.testing.leader import EPOCH_NOW, SchedulerHarness, inherited, launched, launched_by_push, rung
from ladderfield.view import Change


def test_no_launch_before_the_claim_is_on_record() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=1)
    assert harness.report() == []
    assert len(harness.machine().claims) == 1
    harness.record()
    (order,) = harness.report()
    assert order["verb"] == "launch" and order["try"] >> 32 == EPOCH_NOW


def test_a_launch_by_orders_without_an_answer_is_resent_and_never_reaped() -> None:
    harness = SchedulerHarness()
    machine, order = launched_by_push(harness)
    assert harness.report(now=2.0) == [], "absence proves nothing while a copy may come"
    assert len(machine.claims) == 1
    (again,) = harness.report(now=9.0)
    assert again["try"] == order["try"]
    harness.report(rungs=(rung(0, order["try"], "exited", "done"),), now=10.0)
    harness.record()
    assert harness.report(rungs=(rung(0, order["try"], "exited", "done"),), now=11.0) == []
    harness.scheduler.sessions.answered(machine, [order["try"]], True)
    (reap,) = harness.report(rungs=(rung(0, order["try"], "exited", "done"),), now=12.0)
    assert reap["verb"] == "reap"


def test_two_unanswered_copies_need_two_answers() -> None:
    harness = SchedulerHarness()
    machine, order = launched_by_push(harness)
    harness.scheduler.sessions.orders(machine, 9.0, None)
    harness.scheduler.sessions.answered(machine, [order["try"]], True)
    assert machine.unanswered_launches == {order["try"]: 1}


def test_a_new_session_ends_claims_of_the_old_one_but_not_unsent_ones() -> None:
    harness = SchedulerHarness()
    launched(harness, 1)
    harness.submit("req-000002", rungs=1)
    harness.scheduler.schedule(2.0)
    assert len(harness.machine().claims) == 2
    harness.report(tenure=2, now=15.0)
    held = harness.machine().claims
    assert ("req-000002", 0) in held
    assert held["req-000001", 0].sent_tenure is None, "ended, and claimed anew under another attempt"


def test_an_inherited_claim_binds_until_the_machine_has_taken_our_epoch() -> None:
    harness = SchedulerHarness(inherited())
    assert harness.report(epoch=6) == []
    assert next(iter(harness.machine().claims.values())).attempt == 99, "an old order may still come"
    harness.report("other")
    assert not harness.machine("other").claims
    harness.report(epoch=EPOCH_NOW, now=2.0)
    attempts = [claim.attempt for machine in harness.scheduler.machines.values() for claim in machine.claims.values()]
    assert len(attempts) == 1 and attempts[0] >> 32 == EPOCH_NOW


def test_a_late_report_is_not_believed() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 1)
    harness.report(rungs=(rung(0, attempt),), now=2.0)
    harness.ticks["m"] -= 2
    harness.report(rungs=(), now=3.0)
    assert harness.machine().seen == {("req-000001", 0): (attempt, "running")}


def test_cancelled_tasks_are_stopped_and_none_starts() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 1)
    harness.submit("req-000002", rungs=1)
    for uid in ("req-000001", "req-000002"):
        harness.scheduler.take_changes([Change(f"lf/f/{uid}", {"phase": "cancelled", "at": 1002.0}, 20)], 2.0)
    (order,) = harness.report(rungs=(rung(0, attempt),), now=2.5)
    assert order == {"verb": "stop", "rung": "req-000001/0", "try": attempt, "windDownS": 0.0}
    harness.report(rungs=(rung(0, attempt, "exited", "stopped"),), now=3.0)
    harness.record()
    assert not harness.scheduler.jobs


def test_a_checkpointing_task_gets_time_to_save_but_not_when_cancelled() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 1, markEveryS=10.0, markCostS=3.0)
    harness.report(rungs=(rung(0, attempt),), now=2.0)
    (order,) = harness.report(rungs=(rung(0, attempt),), now=3.0, recallS=10.0)
    assert order["verb"] == "stop" and order["windDownS"] >= 3.0


def test_a_task_nobody_claims_is_stopped() -> None:
    harness = SchedulerHarness()
    (order,) = harness.report(rungs=(rung(0, 5),))
    assert (order["verb"], order["try"]) == ("stop", 5)
