"""When claims may be launched, when they end, and which orders workers get."""

from __future__ import annotations

from typing import Any

import pytest

from ladderfield.changes import Change
from ladderfield.http import encode
from ladderfield.leader.machine_orders import MAX_KEPT_ATTEMPTS, RESEND_REPORT_INTERVALS
from ladderfield.testing.leader import (
    EPOCH_NOW,
    TOKEN_NOW,
    SchedulerHarness,
    inherited_records,
    launch_by_push,
    launch_job,
    reported_task,
    wire_orders,
)

MAX_REPORT_BYTES = 64 * 1024  # set by the protocol


def test_a_task_is_not_launched_before_its_claim_is_recorded() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=1)
    assert harness.report() == []
    assert len(harness.machine().claims) == 1
    harness.write_records()
    (order,) = harness.report()
    assert order["verb"] == "launch" and order["try"] >> 32 == EPOCH_NOW


def test_a_pushed_launch_without_an_answer_is_resent() -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    assert harness.report(now=2.0) == [], "the attempt isn't listed, but a copy of the launch may still arrive"
    assert len(machine.claims) == 1
    (resent,) = harness.report(now=9.0)
    assert resent["try"] == order["try"]


@pytest.mark.parametrize("answered", [False, True])
def test_a_pushed_attempt_is_reaped_only_with_a_higher_token(answered: bool) -> None:
    """Guards against a copy of the launch that arrives once the worker has forgotten the attempt."""
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    fencing, pushed = harness.scheduler.fencing, harness.scheduler.fencing.token(machine)
    done = reported_task(0, order["try"], "exited", "done")
    if answered:
        harness.scheduler.sessions.orders_answered(machine, [order["try"]], True)
    harness.report(tasks=(done,), now=2.0)
    harness.write_records()
    assert wire_orders(harness.scheduler.sessions.orders(machine, 2.0, None)) == [], "the token is raised by an answer"
    (reap,) = harness.report(tasks=(done,), now=3.0)
    assert (reap["verb"], reap["try"]) == ("reap", order["try"]) and fencing.token(machine) == pushed + 1
    harness.report(tasks=(done,), now=4.0)
    assert fencing.token(machine) == pushed + 1, "the reap is repeated with the same token"


def test_a_machine_that_sends_no_reports_gets_a_higher_token_by_push() -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    harness.report(tasks=(reported_task(0, order["try"], "exited", "done"),), now=2.0)
    harness.write_records()
    silent_since = 2.0 + RESEND_REPORT_INTERVALS * harness.scheduler.report_s
    assert wire_orders(harness.scheduler.sessions.orders(machine, silent_since, None)) == []
    (reap,) = wire_orders(harness.scheduler.sessions.orders(machine, silent_since + 0.1, None))
    assert reap["verb"] == "reap" and harness.scheduler.fencing.token(machine) == TOKEN_NOW + 1


def test_the_token_is_raised_for_ended_attempts_at_most_every_half_lease() -> None:
    harness = SchedulerHarness()
    _, first = launch_by_push(harness)
    machine, token = harness.machine(), harness.scheduler.fencing.token
    harness.report(tasks=(reported_task(0, first["try"], "exited", "done"),), now=2.0)
    harness.write_records(2.0)
    harness.report(tasks=(reported_task(0, first["try"], "exited", "done"),), now=3.0)
    harness.submit("req-000002", rungs=1)
    harness.report(now=4.0)
    harness.write_records(4.0)
    (second,) = wire_orders(harness.scheduler.sessions.orders(machine, 4.0, None))
    done = reported_task(0, second["try"], "exited", "done", uid="req-000002")
    harness.report(tasks=(done,), now=5.0)
    harness.write_records(5.0)
    raised_at = machine.token_raised_at
    for now in (6.0, 7.0, 8.0):
        assert harness.report(tasks=(done,), now=now, epoch=token(machine)) == []
    (reap,) = harness.report(tasks=(done,), now=raised_at + harness.scheduler.lease_s / 2, epoch=token(machine))
    assert reap["try"] == second["try"]


def test_many_ended_attempts_raise_the_token_at_once() -> None:
    """Guards against reports that grow without bound, as each kept attempt lengthens them."""
    harness = SchedulerHarness()
    machine, _ = launch_by_push(harness)
    machine.token_raised_at = 1.0
    ended = [reported_task(index, 5, "exited", "error", uid="req-000009") for index in range(MAX_KEPT_ATTEMPTS + 1)]
    machine.pushed_launches = {5: TOKEN_NOW}
    reaped = [order for order in harness.report(tasks=tuple(ended), now=2.0) if order["verb"] == "reap"]
    assert len(reaped) == len(ended)


def test_ten_minutes_of_pushed_one_task_jobs_keep_reports_short_and_tokens_plenty() -> None:
    harness, listed = SchedulerHarness(), dict[str, dict[str, Any]]()
    harness.report()
    machine, longest, token = harness.machine(), 0, harness.scheduler.fencing.token

    def execute(orders: list[dict[str, Any]]) -> None:
        for order in orders:
            if order["verb"] == "launch":
                uid, _, index = order["rung"].partition("/")
                listed.setdefault(order["rung"], reported_task(int(index), order["try"], "exited", "done", uid=uid))
            elif order["verb"] == "reap":
                listed.pop(order["rung"], None)

    for step in range(1200):
        now = 1.0 + step / 2
        for number in range(2):
            harness.submit(f"req-{2 * step + number:06d}", rungs=1, cores=0.5, owner="blue")
        longest = max(longest, len(encode(list(listed.values()))))
        execute(harness.report(tasks=tuple(listed.values()), now=now, epoch=token(machine)))
        harness.write_records(now)
        execute(wire_orders(harness.scheduler.sessions.orders(machine, now, None)))
    assert longest < MAX_REPORT_BYTES / 4
    assert sum(not job.finished for job in harness.scheduler.jobs.values()) < 10, "all but the last are done"
    half_leases = 600.0 / (harness.scheduler.lease_s / 2)
    assert token(machine) - TOKEN_NOW <= half_leases + 1, "a term's tokens last for hours"


def _preempt(harness: SchedulerHarness, attempt: int, now: float) -> None:
    """Preempt the task that machine m runs, and report its end."""
    harness.scheduler.stop(harness.machine().claims["req-000001", 0], "preempted", now)
    harness.report(tasks=(reported_task(0, attempt),), now=now)
    harness.report(tasks=(reported_task(0, attempt, "exited", "stopped"),), now=now + 1)


def test_a_preempted_task_starts_again_on_a_busy_machine_although_its_push_was_not_answered() -> None:
    """Guards against an attempt that is never reaped, so that its task waits until the machine is idle."""
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    harness.submit("req-000002", rungs=1, expectS=900.0)
    attempt, listed = order["try"], [reported_task(0, order["try"])]
    for received in harness.report(tasks=tuple(listed), now=8.0):
        listed.append(reported_task(0, received["try"], uid=received["rung"].split("/")[0]))
    machine.token_raised_at = 9.0  # ended attempts alone would have to wait
    _preempt(harness, attempt, 9.0)
    listed[0] = reported_task(0, attempt, "exited", "stopped")
    for now in (11.0, 12.0, 13.0):
        harness.write_records(now)
        for received in harness.report(tasks=tuple(listed), now=now, epoch=harness.scheduler.fencing.token(machine)):
            if received["verb"] == "reap":
                listed = [task for task in listed if task["try"] != received["try"]]
            elif received["rung"] == "req-000001/0":
                assert received["verb"] == "launch" and received["try"] > attempt
                return
    raise AssertionError("the task was not started again")


def test_the_answer_to_a_push_does_not_exclude_that_it_is_carried_out_once_more() -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    harness.scheduler.sessions.orders_answered(machine, [order["try"]], True)
    assert machine.pushed_launches == {order["try"]: TOKEN_NOW}
    harness.report(tasks=(reported_task(0, order["try"]),), now=2.0, epoch=TOKEN_NOW)
    assert machine.pushed_launches
    machine.token = TOKEN_NOW + 1
    harness.report(tasks=(reported_task(0, order["try"]),), now=3.0, epoch=TOKEN_NOW + 1)
    assert not machine.pushed_launches, "the worker refuses what has a lower token than it has seen"


def test_a_new_session_refuses_what_was_pushed_to_the_old_one() -> None:
    harness = SchedulerHarness()
    machine, _ = launch_by_push(harness)
    harness.report(session=2, now=15.0)
    assert not machine.pushed_launches


def test_a_machine_that_shows_a_raised_token_is_reachable_although_a_push_to_it_was_lost() -> None:
    harness = SchedulerHarness()
    machine, _ = launch_by_push(harness)
    harness.scheduler.sessions.note_ignored_message(machine, 1, 2.0)  # the push got no answer
    harness.scheduler.stop(machine.claims["req-000001", 0], "preempted", 3.0)
    harness.report(now=9.0)
    assert harness.scheduler.fencing.token(machine) == TOKEN_NOW + 1, "so that the claim can end"
    harness.report(now=10.0, epoch=TOKEN_NOW + 1)
    assert machine.unreachable_since is None


def test_a_refused_push_can_not_be_carried_out_later() -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    harness.scheduler.sessions.orders_answered(machine, [order["try"]], False)
    assert not machine.pushed_launches and machine.claims["req-000001", 0].launch.session is None
    (again,) = harness.report(now=2.0)
    assert (again["verb"], again["try"]) == ("launch", order["try"])


def test_launches_are_not_pushed_with_the_last_token_but_sent_in_answers() -> None:
    """Guards against attempts that no later token could exclude."""
    harness = SchedulerHarness()
    harness.submit(rungs=1)
    harness.report()
    harness.write_records()
    machine = harness.machine()
    machine.token = EPOCH_NOW
    assert harness.scheduler.sessions.orders(machine, 1.0, None) == []
    (order,) = harness.report(epoch=EPOCH_NOW, now=2.0)
    assert order["verb"] == "launch" and not machine.pushed_launches


def test_a_new_session_ends_claims_sent_to_the_old_session_but_not_unsent_ones() -> None:
    harness = SchedulerHarness()
    launch_job(harness, 1)
    harness.submit("req-000002", rungs=1)
    harness.scheduler.schedule(2.0)
    assert len(harness.machine().claims) == 2
    harness.report(session=2, now=15.0)
    claims = harness.machine().claims
    assert ("req-000002", 0) in claims
    assert claims["req-000001", 0].launch.session is None, (
        "the sent claim ended, and the task was claimed again under another attempt"
    )


def test_an_inherited_claim_binds_until_the_machine_has_accepted_the_epoch() -> None:
    harness = SchedulerHarness(inherited_records())
    assert harness.report(epoch=TOKEN_NOW - 1) == []
    assert next(iter(harness.machine().claims.values())).attempt == 99, (
        "an order of the earlier leader may still arrive"
    )
    harness.report("other")
    assert not harness.machine("other").claims
    harness.report(epoch=TOKEN_NOW, now=2.0)
    attempts = [claim.attempt for machine in harness.scheduler.machines.values() for claim in machine.claims.values()]
    assert len(attempts) == 1 and attempts[0] >> 32 == EPOCH_NOW


def test_a_report_older_than_the_last_one_is_ignored() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 1)
    harness.report(tasks=(reported_task(0, attempt),), now=2.0)
    harness.sequences["m"] -= 2
    harness.report(tasks=(), now=3.0)
    assert harness.machine().reported_tasks == {("req-000001", 0): (attempt, "running")}


def test_tasks_of_cancelled_jobs_are_stopped_and_none_starts() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 1)
    harness.submit("req-000002", rungs=1)
    for uid in ("req-000001", "req-000002"):
        harness.scheduler.take_changes([Change(f"lf/f/{uid}", {"phase": "cancelled", "at": 1002.0}, 20)], 2.0)
    (order,) = harness.report(tasks=(reported_task(0, attempt),), now=2.5)
    assert order == {"verb": "stop", "rung": "req-000001/0", "try": attempt, "windDownS": 0.0}
    harness.report(tasks=(reported_task(0, attempt, "exited", "stopped"),), now=3.0)
    harness.write_records()
    assert not harness.scheduler.jobs


def test_a_checkpointing_task_gets_time_to_save_after_an_interruption_notice() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 1, markEveryS=10.0, markCostS=3.0)
    harness.report(tasks=(reported_task(0, attempt),), now=2.0)
    (order,) = harness.report(tasks=(reported_task(0, attempt),), now=3.0, recallS=10.0)
    assert order["verb"] == "stop" and order["windDownS"] >= 3.0


def test_a_listed_task_without_a_claim_is_stopped() -> None:
    harness = SchedulerHarness()
    (order,) = harness.report(tasks=(reported_task(0, 5),))
    assert (order["verb"], order["try"]) == ("stop", 5)
