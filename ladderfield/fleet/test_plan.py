"""What is rented and returned: horizons, spare room, refusals, returns."""

from __future__ import annotations

from ladderfield.fleet.capacity import HIRES, Offer
from ladderfield.fleet.cloud import RENT_MOST
from ladderfield.fleet.plan import Planner
from ladderfield.testing.leader import SchedulerHarness, launched, rung


def count(planner: Planner, now: float, spot: bool | None = None) -> int:
    """How many machines the planner asks for."""
    return sum(rental.count for rental in planner.rentals(now) if spot in (None, rental.offer.spot))


def test_a_plan_asks_for_no_more_of_one_kind_than_a_round_of_hires_brings() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", rungs=10_000)
    rentals = Planner(harness.scheduler).rentals(1.0)
    assert [rental.count for rental in rentals] == [RENT_MOST * HIRES]


def test_tasks_that_fit_free_room_rent_nothing_and_a_replica_may_take_the_room_of_lower_ranks() -> None:
    harness = SchedulerHarness()
    harness.report()
    harness.submit("req-000001", rungs=2)
    planner = Planner(harness.scheduler)
    assert not planner.rentals(1.0)
    harness.submit("req-000002", rungs=2, owner="blue")
    assert count(planner, 1.0) == 1
    full = SchedulerHarness()
    launched(full, 2)
    full.submit("req-000002", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
    full.scheduler.estimates.arrivals.clear()
    full.scheduler.estimates.latest_service.clear()
    assert not Planner(full.scheduler).rentals(1.0), "both arrays' tasks would make way"


def test_ordinary_machines_are_rented_as_far_as_the_jobs_can_not_wait_for_those_there_are() -> None:
    asked = []
    for due in (10.0, 100.0, 1000.0):
        harness = SchedulerHarness()
        harness.report()
        harness.submit("req-000001", owner="blue", rungs=100, loaners=False, expectS=5.0, dueS=due)
        asked.append(count(Planner(harness.scheduler), 1.0))
    assert asked[0] > asked[1] > asked[2] == 0


def test_room_is_kept_for_the_replicas_that_will_come_while_a_machine_boots() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
    one = count(Planner(harness.scheduler), 1.0)
    for number in range(2, 60):
        uid = f"req-{number:06d}"
        harness.submit(uid, owner="blue", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
        harness.tell(uid, "cancelled")
    assert one == 2, "the one that waits, and one for those to come"
    assert count(Planner(harness.scheduler), 1.0) == 1 + 8, (
        "the mean of 4.9 and one deviation of 2.2, in whole machines"
    )


def test_a_refusal_stands_for_a_while_and_longer_the_next_time_until_one_is_freed() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", rungs=4, loaners=True)
    planner = Planner(harness.scheduler)
    offers = {rental.offer for rental in planner.rentals(1.0)}
    assert {offer.spot for offer in offers} == {True}, "spot machines are cheaper"
    pauses = []
    now = 1.0
    for _ in range(2):
        for zone in ("za", "zb"):
            planner.refuse(Offer("m4", zone, True), now)
        until = next(step for step in range(1, 200) if count(planner, now + step, spot=True))
        pauses.append(until)
        now += until
    assert pauses[1] > pauses[0]
    for zone in ("za", "zb"):
        planner.refuse(Offer("m4", zone, True), now)
    machine = harness.scheduler.sessions.machine("m", "", "m4", "za", True, now)
    assert machine is not None and not count(planner, now, spot=True)
    machine.deleting = True
    planner.freed(machine)
    assert count(planner, now, spot=True)


def test_idle_machines_are_returned_when_it_costs_more_to_keep_them_than_to_bring_them_back() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 1)
    harness.report("idle")
    planner = Planner(harness.scheduler)
    assert not planner.returns(1.0)
    assert [machine.host for machine in planner.returns(40.0)] == ["idle"]
    harness.report(rungs=(rung(0, attempt),), now=40.0)
    assert [machine.host for machine in planner.returns(400.0)] == ["idle"], "a machine with work stays"


def test_machines_with_an_image_that_is_slow_to_fetch_and_may_be_asked_for_are_returned_last() -> None:
    """Daftar's day zone: replicas that had to move found their image nowhere but beside other replicas."""
    harness = SchedulerHarness()
    for host in ("cold", "quick", "warm"):
        harness.report(host)
    for image, size in (("img-quick", 1.0), ("img-slow", 20.0)):
        uid = "req-000001" if size > 1 else "req-000002"
        harness.submit(uid, shape="daemon", rungs=1, bundle=image, sizeGb=size, owner="blue")
        harness.tell(uid, "cancelled")
    harness.machine("quick").cached = {"img-quick": 1.0}
    harness.machine("warm").cached = {"img-slow": 20.0}
    planner = Planner(harness.scheduler)
    assert {machine.host for machine in planner.returns(8.0)} == {"cold", "quick"}
    assert {machine.host for machine in planner.returns(40.0)} == {"cold", "quick", "warm"}


def test_machines_in_a_zone_that_is_cut_off_are_no_room_and_are_returned_first() -> None:
    asked = []
    for reached in ("ayz", "a"):
        harness = SchedulerHarness()
        for host in "ayz":
            harness.report(host, yard="zb" if host in "yz" else "za", now=1.0)
        for host in reached:
            harness.report(host, yard="zb" if host in "yz" else "za", now=14.0)
        harness.scheduler.sweep(14.0)
        planner = Planner(harness.scheduler)
        first = [machine.host for machine in planner.returns(14.0)][:2]
        assert (first == ["y", "z"]) is ("y" not in reached)
        harness.submit("req-000001", rungs=6, owner="blue", cores=4.0, shape="daemon")
        asked.append(count(planner, 14.0))
    assert asked[1] == asked[0] + 2
