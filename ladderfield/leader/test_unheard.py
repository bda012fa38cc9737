"""Machines that report but are unreachable, late copies of reports, and machines that are silent after a takeover."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import OrdersAnswered
from ladderfield.leader.scheduler import Scheduler
from ladderfield.queues.work import Claim
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing import accepted, job, settings
from ladderfield.testing.leader import (
    EPOCH_NOW,
    MACHINE_RECORD,
    TOKEN_NOW,
    SchedulerHarness,
    inherited_records,
    launch_by_push,
    launch_job,
    reported_task,
)
from ladderfield.view import View
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.report import Report, parse_report


def is_unreachable(harness: SchedulerHarness, host: str = "m") -> bool:
    """Whether the scheduler considers the machine unreachable."""
    return harness.machine(host).unreachable_since is not None


def test_launches_that_are_never_listed_mark_a_machine_unreachable() -> None:
    harness = SchedulerHarness()
    launch_job(harness, 1)
    assert harness.report(now=2.0), "a launch lost once is sent again"
    assert not is_unreachable(harness)
    assert harness.report(now=3.0) == []
    assert is_unreachable(harness) and not harness.machine().claims, (
        "the task certainly did not start, so it may start elsewhere"
    )
    harness.report("other", now=3.5)
    harness.report("other", now=4.0)
    assert len(harness.machine("other").claims) == 1 and not harness.machine().claims


def test_an_epoch_that_is_never_accepted_marks_a_machine_unreachable() -> None:
    harness = SchedulerHarness(inherited_records())
    for now in (1.0, 2.0, 3.0):
        harness.report(epoch=TOKEN_NOW - 1, now=now)
    assert is_unreachable(harness)
    assert [claim.attempt for claim in harness.machine().claims.values()] == [99], (
        "a claim ends only if its task certainly can't run"
    )


def test_a_lease_that_expires_although_we_answered_marks_a_machine_unreachable() -> None:
    harness = SchedulerHarness()
    for now in range(1, 20):
        harness.report(now=float(now))
    assert not is_unreachable(harness)
    harness.report(now=20.0, session=2)
    assert is_unreachable(harness)
    silent = SchedulerHarness()
    silent.report(now=1.0)
    silent.report(now=14.0, session=2)
    assert not is_unreachable(silent), "a machine that was cut off or suspended is healthy again"


def test_an_unreachable_machine_is_deleted_unless_it_receives_answers_again() -> None:
    for recovers in (False, True):
        harness = SchedulerHarness()
        launch_job(harness, 1)
        for now in (2.0, 3.0):
            harness.report(now=now)
        assert is_unreachable(harness)
        if recovers:
            harness.scheduler.sessions.orders_answered(harness.machine(), [], True)
        for now in (4.0, 6.0, 8.0, 9.5):
            harness.report(now=now)
        harness.report("other", now=9.5)
        assert harness.scheduler.sweep(9.6) == ([] if recovers else ["m"])


def test_a_relayed_machine_is_not_unreachable_because_our_own_calls_fail() -> None:
    """Its answers arrive through another controller, as the launches that it lists show."""
    harness = SchedulerHarness()
    launch_job(harness, 1)
    machine = harness.machine()
    claim: Claim = machine.claims["req-000001", 0]
    harness.scheduler.sessions.note_ignored_message(machine, 1, 2.0)
    harness.report(now=3.0, tasks=(reported_task(0, claim.attempt),))
    harness.scheduler.sessions.note_ignored_message(machine, 1, 4.0)
    assert not is_unreachable(harness), "the launch listed in between shows that it receives answers"


def test_reports_without_our_epoch_do_not_count_as_signs_of_health() -> None:
    """Late copies of a dead machine's reports may keep arriving at a new leader."""
    harness = SchedulerHarness(inherited_records())
    for now in range(1, 14):
        harness.report("m", (reported_task(0, 99),), now=float(now), epoch=TOKEN_NOW - 1)
        harness.report("gone", now=float(now), epoch=TOKEN_NOW - 1)
    assert not harness.scheduler.usable(13.0)
    assert not harness.scheduler.sweep(23.0), (
        "half of the zone is silent: machines are kept for a lease plus the boot time"
    )
    assert sorted(harness.scheduler.sweep(23.1)) == ["gone", "m"], "deleted as if silent"
    assert harness.machine().claims, "our answers may have renewed the lease"
    harness.scheduler.sweep(13.0 + 12.0)
    assert harness.machine().claims


def test_a_late_copy_of_a_report_ends_no_claim_and_hides_no_silence() -> None:
    harness = SchedulerHarness()
    harness.report(now=1.0)
    attempt = launch_job(harness, 1)
    harness.report(tasks=(reported_task(0, attempt),), now=4.0)
    late_report: dict[str, Any] = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": TOKEN_NOW, "rungs": [],
    }  # fmt: skip
    harness.report("other", now=10.5)
    for now in (5.0, 7.0, 9.0, 10.5):
        harness.scheduler.sessions.report(msgspec.convert(late_report, Report), now, answering=True)
    assert len(harness.machine().claims) == 1
    assert harness.scheduler.sweep(10.6) == ["m"], "silent since 4 s"
    harness.scheduler.sweep(10.5 + 11.9)
    assert harness.machine().claims, "the answer to the late copy may have renewed the lease"


def test_a_late_report_of_a_deleted_machine_does_not_restore_it() -> None:
    harness = SchedulerHarness()
    harness.report(now=1.0)
    harness.scheduler.forget("m", 2.0)
    assert harness.scheduler.sessions.report(msgspec.convert(RAW_REPORT, Report), 3.0, answering=True) is None
    assert not harness.scheduler.machines


RAW_REPORT: dict[str, Any] = {
    "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
    "tenure": 1, "tick": 1, "epoch": 0, "rungs": [],
}  # fmt: skip


@pytest.mark.parametrize("change", [{"epoch": 2**32}, {"epoch": -1}, {"tick": 2**64}, {"tenure": -1}])
def test_out_of_range_counters_in_a_report_are_refused(change: dict[str, int]) -> None:
    with pytest.raises(ValueError):
        parse_report(msgspec.json.encode(RAW_REPORT | change))


def test_machines_that_an_earlier_leader_may_still_answer_are_not_deleted() -> None:
    """A leader lost only the state service; its successor received no reports and deleted 400 healthy machines."""
    claims = {str(number): [99, host] for number, host in enumerate("abc")}
    pages = {"lf/p/0": ({"hosts": dict.fromkeys("abc", MACHINE_RECORD), "req-000001": {"a": claims}}, 6)}
    job_key = {"lf/j/req-000001": (accepted(job(rungs=3)), 4)}
    harness = SchedulerHarness(job_key | pages)
    assert harness.scheduler.sweep(30.0) == []
    harness.scheduler.earlier.confirm_none_left(EPOCH_NOW, 31.0)
    assert harness.scheduler.sweep(40.0) == [], "the earlier leader may have renewed their leases until then"
    assert sorted(harness.scheduler.sweep(41.0)) == ["a", "b", "c"], "no earlier leader answers them"


def test_machines_in_the_zone_of_an_earlier_leader_are_kept_until_its_term_expires() -> None:
    """A zone was cut off together with its leader; two takeovers later its healthy machines were deleted."""
    scheduler = Scheduler(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, DependencyGraph(lambda key: None), {"n1": 1020.0})
    assert scheduler.earlier.zones == {"zb": 20.0}
    for host, zone in (("a", "za"), ("b", "zb"), ("c", "za"), ("d", "za"), ("e", "za")):
        machine = scheduler.machines[host] = Machine(host, "10.9.0.1:90", UNKNOWN, zone, False, 0.0)
        if host in "cde":
            machine.first_report_at = machine.epoch_confirmed_at = 15.0
    assert scheduler.sweep(15.0) == ["a"]
    for host in "cde":
        scheduler.machines[host].epoch_confirmed_at = 29.0
    assert scheduler.sweep(29.0) == ["a"]
    assert scheduler.sweep(29.7) == ["a", "b"], "most of a lease after the earlier leader's term"


async def test_failed_calls_mark_a_machine_unreachable_only_if_it_reports_directly() -> None:
    """If no worker can reach the leader, reports are relayed and all of its own calls fail."""
    own = settings()
    client = StateClient(own)
    leader = Leader(
        own,
        Term(EPOCH_NOW, 3, 1, 0.0, 2.0, 17.0, 0.0),
        client,
        View(client, own),
        Cloud(own),
        DependencyGraph(lambda key: None),
    )
    machine = leader.scheduler.machines["m"] = Machine("m", "10.9.0.1:90", UNKNOWN, "za", False, 0.0)
    for heard_at, relayed, unreachable_then in ((80.0, False, False), (100.0, True, False), (100.0, False, True)):
        machine.last_report_at, machine.relayed = heard_at, relayed
        for _ in range(3):
            leader.intake.on_orders_answered(OrdersAnswered("m", [], False, None), 100.0)
        assert (machine.unreachable_since is not None) == unreachable_then


def test_a_claim_with_an_outstanding_launch_does_not_end_on_an_unreachable_machine() -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    harness.scheduler.sessions.orders(machine, 9.0, None)
    assert machine.pushed_launches == {order["try"]: TOKEN_NOW}
    harness.scheduler.sessions.note_ignored_message(machine, 2, 9.0)
    harness.report(now=10.0)
    harness.scheduler.stop(machine.claims["req-000001", 0], "cancelled", 10.0)
    assert machine.claims


def test_a_machine_that_tries_other_controllers_is_not_deleted_meanwhile() -> None:
    """Workers could not reach the leader: 65 were deleted while they waited for its answer and tried the next one."""
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host)
    for relayed in (True, False):
        for host in ("a", "b"):
            harness.report(host, now=8.0)
            harness.machine(host).note_route(relayed, 8.0)
        assert ("c" in harness.scheduler.sweep(8.0)) is not relayed


def test_idle_machines_get_time_to_find_a_new_leader() -> None:
    """56 idle machines were deleted in the first second of a term, as machines that had not booted."""
    harness = SchedulerHarness()
    machine = harness.scheduler.sessions.machine("m", "10.9.0.1:90", "m4", "za", False, 0.0)
    assert machine is not None
    machine.created_at = -100.0
    assert not harness.scheduler.sweep(1.0)
    assert harness.scheduler.sweep(10.0) == ["m"]


def test_few_missing_machines_are_deleted_sooner_without_earlier_leaders() -> None:
    """Replicas on machines that were cut off before a leader crash stayed down 6 s before they were replaced."""
    harness = SchedulerHarness()
    for host in "abcde":
        harness.report(host, now=2.0)
    missing = harness.scheduler.machines["m"] = Machine("m", "10.9.0.1:90", harness.machine("a").kind, "za", False, 0.0)
    harness.submit(rungs=1)
    missing.claims[("req-000001", 0)] = Claim(harness.scheduler.jobs["req-000001"], 0, 99, "m", MACHINE_RECORD)
    for now, to_delete in ((8.4, False), (8.6, True)):
        for host in "abcde":
            harness.report(host, now=now)
        assert ("m" in harness.scheduler.sweep(now)) is False, "an earlier leader may still answer it"
        harness.scheduler.earlier.confirm_none_left(EPOCH_NOW, 0.5)
        assert ("m" in harness.scheduler.sweep(now)) is to_delete
        harness.scheduler.earlier.until = 36.0


def test_a_zone_that_is_cut_off_beyond_a_lease_keeps_its_machines() -> None:
    """124 machines were deleted 11 s into a partition of 25 s, and their replacements took 50 s to boot."""
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host, yard="za" if host == "c" else "zb", now=1.0)
    harness.submit(rungs=2, cores=4.0)
    harness.submit("req-000002", shape="daemon", rungs=1, cores=1.0)
    harness.scheduler.schedule(1.0)
    harness.write_records()
    cut_off_hosts = {claim.host for job in harness.scheduler.jobs.values() for claim in job.claims.values()} - {"c"}
    to_delete = {host for host in cut_off_hosts if harness.scheduler.machines[host].replicas}
    for now in (5.0, 9.0, 13.0, 14.0, 18.0, 22.9):
        harness.report("c", now=now)
        deleted_then = to_delete if now > 12.0 else set()
        assert set(harness.scheduler.sweep(now)) == deleted_then, (
            "only machines with replicas are deleted, as replicas have to move"
        )
    assert not any(harness.scheduler.machines[host].claims for host in ("a", "b")), "their lease has expired"
    kept = {"a", "b"} - to_delete
    assert (
        kept
        and to_delete
        and all(harness.scheduler.detector.cut_off(harness.scheduler.machines[host], 22.9) for host in kept)
    )
    for host in kept:
        harness.report(host, yard="zb", now=23.0, session=2)
    assert kept <= {machine.host for machine in harness.scheduler.usable(23.0)}, "healthy again"


def test_machines_of_a_zone_that_stays_cut_off_are_deleted_in_the_end() -> None:
    harness = SchedulerHarness()
    for host in ("a", "b"):
        harness.report(host, now=1.0)
    assert harness.scheduler.sweep(23.0) == [] and harness.scheduler.sweep(23.1) == ["a", "b"]
