"""Machines whose reports arrive but which hear nothing, and copies of reports that come late."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.chains import Chains
from ladderfield.leader.actor import Leader
from ladderfield.leader.desk import Desk
from ladderfield.leader.messages import OrdersAnswered
from ladderfield.leader.test_desk import ABOUT, EPOCH_NOW, Stage, inherited, launched, rung
from ladderfield.leadership import Term
from ladderfield.queues.work import Claim
from ladderfield.state import StateClient
from ladderfield.testing import accepted, job, settings
from ladderfield.view import View
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.workers.report import Report, parse_report


def deaf(stage: Stage, host: str = "m") -> bool:
    return stage.machine(host).deaf_since is not None


def test_launches_that_never_appear_show_that_a_machine_does_not_hear() -> None:
    stage = Stage()
    launched(stage, 1)
    assert stage.report(now=2.0), "lost once: sent again"
    assert not deaf(stage)
    assert stage.report(now=3.0) == []
    assert deaf(stage) and not stage.machine().claims, "it was surely not launched, so it starts elsewhere"
    stage.report("other", now=3.5)
    stage.report("other", now=4.0)
    assert len(stage.machine("other").claims) == 1 and not stage.machine().claims


def test_an_epoch_that_is_never_taken_shows_it() -> None:
    stage = Stage(inherited())
    for now in (1.0, 2.0, 3.0):
        stage.report(epoch=EPOCH_NOW - 1, now=now)
    assert deaf(stage)
    assert [claim.attempt for claim in stage.machine().claims.values()] == [99], "the claim ends by proof only"


def test_a_lease_that_ran_out_although_we_answered_shows_it() -> None:
    stage = Stage()
    for now in range(1, 20):
        stage.report(now=float(now))
    assert not deaf(stage)
    stage.report(now=20.0, tenure=2)
    assert deaf(stage)
    silent = Stage()
    silent.report(now=1.0)
    silent.report(now=14.0, tenure=2)
    assert not deaf(silent), "a machine that was cut off or stood still is well again"


def test_a_machine_that_does_not_hear_is_given_up_unless_it_hears_again() -> None:
    for heals in (False, True):
        stage = Stage()
        launched(stage, 1)
        for now in (2.0, 3.0):
            stage.report(now=now)
        assert deaf(stage)
        if heals:
            stage.desk.sessions.answered(stage.machine(), [], True)
        for now in (4.0, 6.0, 8.0, 9.5):
            stage.report(now=now)
        stage.report("other", now=9.5)
        assert stage.desk.sweep(9.6) == ([] if heals else ["m"])


def test_a_relayed_machine_is_not_deaf_because_our_own_calls_fail() -> None:
    """Its answers come through another controller, which the launches that appear show."""
    stage = Stage()
    launched(stage, 1)
    machine = stage.machine()
    claim: Claim = machine.claims["req-000001", 0]
    stage.desk.sessions.ignored(machine, 1, 2.0)
    stage.report(now=3.0, rungs=(rung(0, claim.attempt),))
    stage.desk.sessions.ignored(machine, 1, 4.0)
    assert not deaf(stage), "what appeared between shows that it hears"


def test_a_report_without_our_epoch_is_no_sign_that_a_machine_is_well() -> None:
    """A new leader with empty tables: copies of what a dead machine said before come one by one."""
    stage = Stage(inherited())
    for now in range(1, 14):
        stage.report("m", (rung(0, 99),), now=float(now), epoch=EPOCH_NOW - 1)
        stage.report("gone", now=float(now), epoch=EPOCH_NOW - 1)
    assert not stage.desk.usable(13.0)
    assert not stage.desk.sweep(23.0), "half of a zone is silent: they get a lease and the time to boot others"
    assert sorted(stage.desk.sweep(23.1)) == ["gone", "m"], "given up as if silent"
    assert stage.machine().claims, "but the lease may have been renewed by our answers"
    stage.desk.sweep(13.0 + 12.0)
    assert stage.machine().claims


def test_a_late_copy_neither_proves_an_absence_nor_hides_a_silence() -> None:
    stage = Stage()
    stage.report(now=1.0)
    attempt = launched(stage, 1)
    stage.report(rungs=(rung(0, attempt),), now=4.0)
    copy: dict[str, Any] = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": EPOCH_NOW, "rungs": [],
    }  # fmt: skip
    stage.report("other", now=10.5)
    for now in (5.0, 7.0, 9.0, 10.5):
        stage.desk.sessions.report(msgspec.convert(copy, Report), now, answering=True)
    assert len(stage.machine().claims) == 1
    assert stage.desk.sweep(10.6) == ["m"], "silent since 4.0"
    stage.desk.sweep(10.5 + 11.9)
    assert stage.machine().claims, "the answer to the copy may have renewed the lease"


def test_a_copy_from_a_machine_that_was_deleted_brings_nothing_back() -> None:
    stage = Stage()
    stage.report(now=1.0)
    stage.desk.forget("m", 2.0)
    assert stage.desk.sessions.report(msgspec.convert(RAW, Report), 3.0, answering=True) is None
    assert not stage.desk.machines


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
    stage = Stage(job_key | pages)
    assert stage.desk.sweep(30.0) == []
    stage.desk.detector.no_other_leader(31.0)
    assert stage.desk.sweep(40.0) == [], "their leases may have been renewed until then"
    assert sorted(stage.desk.sweep(41.0)) == ["a", "b", "c"], "nobody else answers them"


def test_a_zone_that_an_earlier_leader_may_hold_is_given_its_time() -> None:
    """Grown troubles: the zone was cut off with its leader, and two takeovers later its machines were deleted."""
    one = Desk(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, Chains(lambda key: None), {"n1": 1020.0})
    assert one.detector.zones_before == {"zb": 20.0}
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
        own, Term(EPOCH_NOW, 3, 1, 0.0, 2.0, 17.0, 0.0), client, View(client, own), Cloud(own), Chains(lambda key: None)
    )
    machine = leader.desk.machines["m"] = Machine("m", "10.9.0.1:90", UNKNOWN, "za", False, 0.0)
    for heard_at, relayed, deaf_then in ((80.0, False, False), (100.0, True, False), (100.0, False, True)):
        machine.heard_at, machine.relayed = heard_at, relayed
        for _ in range(3):
            leader._on_orders_answered(OrdersAnswered("m", [], False, None), 100.0)
        assert (machine.deaf_since is not None) == deaf_then


def test_a_claim_whose_launch_may_still_arrive_does_not_end_on_a_deaf_machine_or_by_a_stop() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    stage.record()
    machine = stage.machine()
    (order,) = stage.desk.sessions.orders(machine, 1.0, None)
    stage.desk.sessions.orders(machine, 9.0, None)
    stage.desk.sessions.answered(machine, [order["try"]], False)
    assert machine.doubts == {order["try"]: 1}, "one copy was refused, the other is still out"
    stage.desk.sessions.ignored(machine, 2, 9.0)
    stage.report(now=10.0)
    stage.desk.stop(machine.claims["req-000001", 0], "cancelled", 10.0)
    assert machine.claims


def test_a_machine_on_its_way_round_a_leader_that_lost_the_workers_is_not_given_up() -> None:
    """Daftar's day apart: 65 machines were deleted while they waited for the leader's answer and tried the next."""
    stage = Stage()
    for host in ("a", "b", "c"):
        stage.report(host)
    for relayed in (True, False):
        for host in ("a", "b"):
            stage.report(host, now=8.0)
            stage.machine(host).came(relayed, 8.0)
        assert ("c" in stage.desk.sweep(8.0)) is not relayed


def test_idle_machines_that_a_successor_finds_get_the_time_to_come_to_it() -> None:
    """Daftar's day zone: 56 of them were deleted in the first second of the term, as machines that never came up."""
    stage = Stage()
    machine = stage.desk.sessions.machine("m", "10.9.0.1:90", "m4", "za", False, 0.0)
    assert machine is not None
    machine.born_at = -100.0
    assert not stage.desk.sweep(1.0)
    assert stage.desk.sweep(10.0) == ["m"]


def test_few_that_are_missing_after_a_takeover_are_given_up_sooner_once_no_earlier_leader_is_left() -> None:
    """Daftar's day zone: replicas on machines cut off before the crash were dead for 6 s before anything was done."""
    stage = Stage()
    for host in "abcde":
        stage.report(host, now=2.0)
    gone = stage.desk.machines["m"] = Machine("m", "10.9.0.1:90", stage.machine("a").kind, "za", False, 0.0)
    stage.submit(rungs=1)
    gone.claims[("req-000001", 0)] = Claim(stage.desk.jobs["req-000001"], 0, 99, "m", ABOUT)
    for now, doomed in ((8.4, False), (8.6, True)):
        for host in "abcde":
            stage.report(host, now=now)
        assert ("m" in stage.desk.sweep(now)) is False, "another may still answer it"
        stage.desk.detector.no_other_leader(0.5)
        assert ("m" in stage.desk.sweep(now)) is doomed
        stage.desk.detector.others_until = 36.0


def test_a_zone_that_is_cut_for_longer_than_a_lease_keeps_its_machines() -> None:
    """Ridgeline's day troubles: 124 machines were deleted 11 s into a cut of 25 s, and others took 50 s to boot."""
    stage = Stage()
    for host in ("a", "b", "c"):
        stage.report(host, yard="za" if host == "c" else "zb", now=1.0)
    stage.submit(rungs=2, cores=4.0)
    stage.submit("req-000002", shape="daemon", rungs=1, cores=1.0)
    stage.desk.schedule(1.0)
    stage.record()
    away = {claim.host for job in stage.desk.jobs.values() for claim in job.claims.values()} - {"c"}
    doomed = {host for host in away if stage.desk.machines[host].replicas}
    for now in (5.0, 9.0, 13.0, 14.0, 18.0, 22.9):
        stage.report("c", now=now)
        given_up = doomed if now > 12.0 else set()
        assert set(stage.desk.sweep(now)) == given_up, "but those that hold replicas, which have to move"
    assert not any(stage.desk.machines[host].claims for host in ("a", "b")), "their lease is over"
    kept = {"a", "b"} - doomed
    assert kept and doomed and all(stage.desk.detector.away(stage.desk.machines[host], 22.9) for host in kept)
    for host in kept:
        stage.report(host, yard="zb", now=23.0, tenure=2)
    assert kept <= {machine.host for machine in stage.desk.usable(23.0)}, "well again"


def test_a_zone_that_stays_cut_is_given_up_in_the_end() -> None:
    stage = Stage()
    for host in ("a", "b"):
        stage.report(host, now=1.0)
    assert stage.desk.sweep(23.0) == [] and stage.desk.sweep(23.1) == ["a", "b"]
