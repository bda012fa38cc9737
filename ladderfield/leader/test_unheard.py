"""Machines whose reports arrive but which hear nothing, and copies of reports that come late."""

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
from ladderfield.testing.leader import ABOUT, EPOCH_NOW, SchedulerHarness, inherited, launched, launched_by_push, rung
from ladderfield.view import View
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.report import Report, parse_report


def deaf(harness: SchedulerHarness, host: str = "m") -> bool:
    return harness.machine(host).not_hearing_since is not None


def test_launches_that_never_appear_show_that_a_machine_does_not_hear() -> None:
    harness = SchedulerHarness()
    launched(harness, 1)
    assert harness.report(now=2.0), "lost once: sent again"
    assert not deaf(harness)
    assert harness.report(now=3.0) == []
    assert deaf(harness) and not harness.machine().claims, "it was surely not launched, so it starts elsewhere"
    harness.report("other", now=3.5)
    harness.report("other", now=4.0)
    assert len(harness.machine("other").claims) == 1 and not harness.machine().claims


def test_an_epoch_that_is_never_taken_shows_it() -> None:
    harness = SchedulerHarness(inherited())
    for now in (1.0, 2.0, 3.0):
        harness.report(epoch=EPOCH_NOW - 1, now=now)
    assert deaf(harness)
    assert [claim.attempt for claim in harness.machine().claims.values()] == [99], "the claim ends by proof only"


def test_a_lease_that_ran_out_although_we_answered_shows_it() -> None:
    harness = SchedulerHarness()
    for now in range(1, 20):
        harness.report(now=float(now))
    assert not deaf(harness)
    harness.report(now=20.0, tenure=2)
    assert deaf(harness)
    silent = SchedulerHarness()
    silent.report(now=1.0)
    silent.report(now=14.0, tenure=2)
    assert not deaf(silent), "a machine that was cut off or stood still is well again"


def test_a_machine_that_does_not_hear_is_given_up_unless_it_hears_again() -> None:
    for heals in (False, True):
        harness = SchedulerHarness()
        launched(harness, 1)
        for now in (2.0, 3.0):
            harness.report(now=now)
        assert deaf(harness)
        if heals:
            harness.scheduler.sessions.answered(harness.machine(), [], True)
        for now in (4.0, 6.0, 8.0, 9.5):
            harness.report(now=now)
        harness.report("other", now=9.5)
        assert harness.scheduler.sweep(9.6) == ([] if heals else ["m"])


def test_a_relayed_machine_is_not_deaf_because_our_own_calls_fail() -> None:
    """Its answers come through another controller, which the launches that appear show."""
    harness = SchedulerHarness()
    launched(harness, 1)
    machine = harness.machine()
    claim: Claim = machine.claims["req-000001", 0]
    harness.scheduler.sessions.ignored(machine, 1, 2.0)
    harness.report(now=3.0, rungs=(rung(0, claim.attempt),))
    harness.scheduler.sessions.ignored(machine, 1, 4.0)
    assert not deaf(harness), "what appeared between shows that it hears"


def test_a_report_without_our_epoch_is_no_sign_that_a_machine_is_well() -> None:
    """A new leader with empty tables: copies of what a dead machine said before come one by one."""
    harness = SchedulerHarness(inherited())
    for now in range(1, 14):
        harness.report("m", (rung(0, 99),), now=float(now), epoch=EPOCH_NOW - 1)
        harness.report("gone", now=float(now), epoch=EPOCH_NOW - 1)
    assert not harness.scheduler.usable(13.0)
    assert not harness.scheduler.sweep(23.0), "half of a zone is silent: they get a lease and the time to boot others"
    assert sorted(harness.scheduler.sweep(23.1)) == ["gone", "m"], "given up as if silent"
    assert harness.machine().claims, "but the lease may have been renewed by our answers"
    harness.scheduler.sweep(13.0 + 12.0)
    assert harness.machine().claims


def test_a_late_copy_neither_proves_an_absence_nor_hides_a_silence() -> None:
    harness = SchedulerHarness()
    harness.report(now=1.0)
    attempt = launched(harness, 1)
    harness.report(rungs=(rung(0, attempt),), now=4.0)
    copy: dict[str, Any] = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": EPOCH_NOW, "rungs": [],
    }  # fmt: skip
    harness.report("other", now=10.5)
    for now in (5.0, 7.0, 9.0, 10.5):
        harness.scheduler.sessions.report(msgspec.convert(copy, Report), now, answering=True)
    assert len(harness.machine().claims) == 1
    assert harness.scheduler.sweep(10.6) == ["m"], "silent since 4.0"
    harness.scheduler.sweep(10.5 + 11.9)
    assert harness.machine().claims, "the answer to the copy may have renewed the lease"


def test_a_copy_from_a_machine_that_was_deleted_brings_nothing_back() -> None:
    harness = SchedulerHarness()
    harness.report(now=1.0)
    harness.scheduler.forget("m", 2.0)
    assert harness.scheduler.sessions.report(msgspec.convert(RAW, Report), 3.0, answering=True) is None
    assert not harness.scheduler.machines


RAW: dict[str, Any] = {
    "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
    "tenure": 1, "tick": 1, "epoch": 0, "rungs": [],
}  # fmt: skip


@pytest.mark.parametrize("change", [{"epoch": 2**32}, {"epoch": -1}, {"tick": 2**64}, {"tenure": -1}])
def test_counts_that_nobody_can_have_given_are_refused(change: dict[str, int]) -> None:
    with pytest.raises(ValueError):
        parse_report(msgspec.json.encode(RAW | change))


def test_machines_that_another_leader_may_still_answer_are_not_deleted_in_bulk() -> None:
    """Grown apart: the leader lost the state service alone, its successor heard of no worker and gave 400 up."""
    claims = {str(number): [99, host] for number, host in enumerate("abc")}
    pages = {"lf/p/0": ({"hosts": dict.fromkeys("abc", ABOUT), "req-000001": {"a": claims}}, 6)}
    job_key = {"lf/j/req-000001": (accepted(job(rungs=3)), 4)}
    harness = SchedulerHarness(job_key | pages)
    assert harness.scheduler.sweep(30.0) == []
    harness.scheduler.earlier.none_left(EPOCH_NOW, 31.0)
    assert harness.scheduler.sweep(40.0) == [], "their leases may have been renewed until then"
    assert sorted(harness.scheduler.sweep(41.0)) == ["a", "b", "c"], "nobody else answers them"


def test_a_zone_that_an_earlier_leader_may_hold_is_given_its_time() -> None:
    """Grown troubles: the zone was cut off with its leader, and two takeovers later its machines were deleted."""
    one = Scheduler(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, DependencyGraph(lambda key: None), {"n1": 1020.0})
    assert one.earlier.zones == {"zb": 20.0}
    for host, zone in (("a", "za"), ("b", "zb"), ("c", "za"), ("d", "za"), ("e", "za")):
        machine = one.machines[host] = Machine(host, "10.9.0.1:90", UNKNOWN, zone, False, 0.0)
        if host in "cde":
            machine.up_at = machine.fresh_at = 15.0
    assert one.sweep(15.0) == ["a"]
    for host in "cde":
        one.machines[host].fresh_at = 29.0
    assert one.sweep(29.0) == ["a"]
    assert one.sweep(29.7) == ["a", "b"], "most of a lease after the earlier leader's time"


async def test_calls_that_fail_tell_of_deafness_only_where_reports_come_straight() -> None:
    """A leader that no worker can reach: others carry the reports, and its own calls fail everywhere."""
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
    for heard_at, relayed, deaf_then in ((80.0, False, False), (100.0, True, False), (100.0, False, True)):
        machine.heard_at, machine.relayed = heard_at, relayed
        for _ in range(3):
            leader._on_orders_answered(OrdersAnswered("m", [], False, None), 100.0)
        assert (machine.not_hearing_since is not None) == deaf_then


def test_a_claim_whose_launch_may_still_arrive_does_not_end_on_a_deaf_machine_or_by_a_stop() -> None:
    harness = SchedulerHarness()
    machine, order = launched_by_push(harness)
    harness.scheduler.sessions.orders(machine, 9.0, None)
    harness.scheduler.sessions.answered(machine, [order["try"]], False)
    assert machine.unanswered_launches == {order["try"]: 1}, "one copy was refused, the other is still out"
    harness.scheduler.sessions.ignored(machine, 2, 9.0)
    harness.report(now=10.0)
    harness.scheduler.stop(machine.claims["req-000001", 0], "cancelled", 10.0)
    assert machine.claims


def test_a_machine_on_its_way_round_a_leader_that_lost_the_workers_is_not_given_up() -> None:
    """Daftar's day apart: 65 machines were deleted while they waited for the leader's answer and tried the next."""
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host)
    for relayed in (True, False):
        for host in ("a", "b"):
            harness.report(host, now=8.0)
            harness.machine(host).came(relayed, 8.0)
        assert ("c" in harness.scheduler.sweep(8.0)) is not relayed


def test_idle_machines_that_a_successor_finds_get_the_time_to_come_to_it() -> None:
    """Daftar's day zone: 56 of them were deleted in the first second of the term, as machines that never came up."""
    harness = SchedulerHarness()
    machine = harness.scheduler.sessions.machine("m", "10.9.0.1:90", "m4", "za", False, 0.0)
    assert machine is not None
    machine.born_at = -100.0
    assert not harness.scheduler.sweep(1.0)
    assert harness.scheduler.sweep(10.0) == ["m"]


def test_few_that_are_missing_after_a_takeover_are_given_up_sooner_once_no_earlier_leader_is_left() -> None:
    """Daftar's day zone: replicas on machines cut off before the crash were dead for 6 s before anything was done."""
    harness = SchedulerHarness()
    for host in "abcde":
        harness.report(host, now=2.0)
    gone = harness.scheduler.machines["m"] = Machine("m", "10.9.0.1:90", harness.machine("a").kind, "za", False, 0.0)
    harness.submit(rungs=1)
    gone.claims[("req-000001", 0)] = Claim(harness.scheduler.jobs["req-000001"], 0, 99, "m", ABOUT)
    for now, doomed in ((8.4, False), (8.6, True)):
        for host in "abcde":
            harness.report(host, now=now)
        assert ("m" in harness.scheduler.sweep(now)) is False, "another may still answer it"
        harness.scheduler.earlier.none_left(EPOCH_NOW, 0.5)
        assert ("m" in harness.scheduler.sweep(now)) is doomed
        harness.scheduler.earlier.until = 36.0


def test_a_zone_that_is_cut_for_longer_than_a_lease_keeps_its_machines() -> None:
    """Ridgeline's day troubles: 124 machines were deleted 11 s into a cut of 25 s, and others took 50 s to boot."""
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host, yard="za" if host == "c" else "zb", now=1.0)
    harness.submit(rungs=2, cores=4.0)
    harness.submit("req-000002", shape="daemon", rungs=1, cores=1.0)
    harness.scheduler.schedule(1.0)
    harness.record()
    away = {claim.host for job in harness.scheduler.jobs.values() for claim in job.claims.values()} - {"c"}
    doomed = {host for host in away if harness.scheduler.machines[host].replicas}
    for now in (5.0, 9.0, 13.0, 14.0, 18.0, 22.9):
        harness.report("c", now=now)
        given_up = doomed if now > 12.0 else set()
        assert set(harness.scheduler.sweep(now)) == given_up, "but those that hold replicas, which have to move"
    assert not any(harness.scheduler.machines[host].claims for host in ("a", "b")), "their lease is over"
    kept = {"a", "b"} - doomed
    assert (
        kept
        and doomed
        and all(harness.scheduler.detector.away(harness.scheduler.machines[host], 22.9) for host in kept)
    )
    for host in kept:
        harness.report(host, yard="zb", now=23.0, tenure=2)
    assert kept <= {machine.host for machine in harness.scheduler.usable(23.0)}, "well again"


def test_a_zone_that_stays_cut_is_given_up_in_the_end() -> None:
    harness = SchedulerHarness()
    for host in ("a", "b"):
        harness.report(host, now=1.0)
    assert harness.scheduler.sweep(23.0) == [] and harness.scheduler.sweep(23.1) == ["a", "b"]
