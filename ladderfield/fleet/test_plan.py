"""Plans of rentals and returns: horizons, spare room, refused offers, idle machines."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from ladderfield.fleet import offers
from ladderfield.fleet.capacity import MAX_RENT_CALLS_PER_OFFER, Offer
from ladderfield.fleet.cloud import MAX_RENTED_PER_CALL
from ladderfield.fleet.offers import OfferSelector
from ladderfield.fleet.plan import Planner
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.testing import TYPES, job
from ladderfield.testing.leader import SchedulerHarness, launch_job, reported_task


def count(planner: Planner, now: float, spot: bool | None = None) -> int:
    """Number of machines that the planner rents, of all or of one kind."""
    return sum(rental.count for rental in planner.rentals(now) if spot in (None, rental.offer.spot))


def test_plan_rents_no_more_of_one_offer_than_a_round_of_rent_calls_can_bring() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", rungs=10_000)
    rentals = Planner(harness.scheduler).rentals(1.0)
    assert [rental.count for rental in rentals] == [MAX_RENTED_PER_CALL * MAX_RENT_CALLS_PER_OFFER]


def test_nothing_is_rented_for_tasks_that_fit_free_room_or_room_of_preemptible_tasks() -> None:
    harness = SchedulerHarness()
    harness.report()
    harness.submit("req-000001", rungs=2)
    planner = Planner(harness.scheduler)
    assert not planner.rentals(1.0)
    harness.submit("req-000002", rungs=2, owner="blue")
    assert count(planner, 1.0) == 1
    full = SchedulerHarness()
    launch_job(full, 2)
    full.submit("req-000002", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
    full.scheduler.estimates.arrivals.clear()
    full.scheduler.estimates.latest_service.clear()
    assert not Planner(full.scheduler).rentals(1.0), "both array tasks would be preempted"


def test_on_demand_machines_are_rented_only_for_jobs_that_can_not_wait_for_present_ones() -> None:
    rented = []
    for due in (10.0, 100.0, 1000.0):
        harness = SchedulerHarness()
        harness.report()
        harness.submit("req-000001", owner="blue", rungs=100, loaners=False, expectS=5.0, dueS=due)
        rented.append(count(Planner(harness.scheduler), 1.0))
    assert rented[0] > rented[1] > rented[2] == 0


def test_spare_room_is_planned_for_replicas_that_arrive_while_a_machine_boots() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
    first = count(Planner(harness.scheduler), 1.0)
    for number in range(2, 60):
        uid = f"req-{number:06d}"
        harness.submit(uid, owner="blue", shape="daemon", rank="production", rungs=1, cores=4.0, loaners=False)
        harness.record_final_state(uid, "cancelled")
    assert first == 2, "one for the waiting replica, one for expected ones"
    assert count(Planner(harness.scheduler), 1.0) == 1 + 8, (
        "the mean of 4.9 and one standard deviation of 2.2, in whole machines"
    )


def test_refused_offer_backs_off_longer_each_time_until_a_machine_of_it_is_deleted() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000001", owner="blue", rungs=4, loaners=True)
    planner = Planner(harness.scheduler)
    offers = {rental.offer for rental in planner.rentals(1.0)}
    assert {offer.spot for offer in offers} == {True}, "spot machines are cheaper"
    backoffs = []
    now = 1.0
    for _ in range(2):
        for zone in ("za", "zb"):
            planner.note_refusal(Offer("m4", zone, True), now)
        until = next(step for step in range(1, 200) if count(planner, now + step, spot=True))
        backoffs.append(until)
        now += until
    assert backoffs[1] > backoffs[0]
    for zone in ("za", "zb"):
        planner.note_refusal(Offer("m4", zone, True), now)
    machine = harness.scheduler.sessions.machine("m", "", "m4", "za", True, now)
    assert machine is not None and not count(planner, now, spot=True)
    machine.deleting = True
    planner.note_deleted(machine)
    assert count(planner, now, spot=True)


def test_idle_machines_are_returned_when_keeping_them_costs_more_than_replacing_them() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 1)
    harness.report("idle")
    planner = Planner(harness.scheduler)
    assert not planner.machines_to_return(1.0)
    assert [machine.host for machine in planner.machines_to_return(40.0)] == ["idle"]
    harness.report(tasks=(reported_task(0, attempt),), now=40.0)
    assert [machine.host for machine in planner.machines_to_return(400.0)] == ["idle"], "a machine with a claim is kept"


def test_machines_with_a_wanted_image_that_is_slow_to_fetch_are_returned_last() -> None:
    """Guards against moved replicas finding their image cached only on machines that run other replicas."""
    harness = SchedulerHarness()
    for host in ("cold", "quick", "warm"):
        harness.report(host)
    for image, size in (("img-quick", 1.0), ("img-slow", 20.0)):
        uid = "req-000001" if size > 1 else "req-000002"
        harness.submit(uid, shape="daemon", rungs=1, bundle=image, sizeGb=size, owner="blue")
        harness.record_final_state(uid, "cancelled")
    harness.machine("quick").cached = {"img-quick": 1.0}
    harness.machine("warm").cached = {"img-slow": 20.0}
    planner = Planner(harness.scheduler)
    assert {machine.host for machine in planner.machines_to_return(8.0)} == {"cold", "quick"}
    assert {machine.host for machine in planner.machines_to_return(40.0)} == {"cold", "quick", "warm"}


def test_machines_in_an_unreachable_zone_do_not_count_and_are_returned_first() -> None:
    rented = []
    for reached in ("ayz", "a"):
        harness = SchedulerHarness()
        for host in "ayz":
            harness.report(host, yard="zb" if host in "yz" else "za", now=1.0)
        for host in reached:
            harness.report(host, yard="zb" if host in "yz" else "za", now=14.0)
        harness.scheduler.sweep(14.0)
        planner = Planner(harness.scheduler)
        first = [machine.host for machine in planner.machines_to_return(14.0)][:2]
        assert (first == ["y", "z"]) is ("y" not in reached)
        harness.submit("req-000001", rungs=6, owner="blue", cores=4.0, shape="daemon")
        rented.append(count(planner, 14.0))
    assert rented[1] == rented[0] + 2


# Guards against: a plan that looked at every machine type again for every job took seconds with hundreds of types.
def test_machine_types_are_looked_at_once_for_all_jobs_with_the_same_needs(monkeypatch: pytest.MonkeyPatch) -> None:
    looked_at = []

    def counted(spec: JobSpec, machine_type: MachineType) -> bool:
        looked_at.append(machine_type.name)
        return fits(spec, machine_type)

    monkeypatch.setattr(offers, "fits", counted)
    harness = SchedulerHarness()
    harness.scheduler.types = {
        f"m{n}": msgspec.convert(TYPES[0] | {"name": f"m{n}", "price": 0.2 + n}, MachineType) for n in range(300)
    }
    for number in range(100):
        harness.submit(f"req-{number:06d}", rungs=1 + number % 3, owner="blue")
    (rental,) = Planner(harness.scheduler).rentals(1.0)
    assert rental.offer.type_name == "m0" and len(looked_at) == 300


def test_the_cheapest_offer_is_that_of_a_search_of_all() -> None:
    random = Random(7)
    kinds = [
        MachineType(f"m{n}", random.choice([2, 4, 8]), 0, 16, 50, 1.0, random.choice([0.1, 0.2, 0.4]), 0.1,
                    random.choice([10, 30]), random.sample(["za", "zb", "zc"], 2))
        for n in range(30)
    ]  # fmt: skip
    every = {Offer(kind.name, zone, spot): kind for kind in kinds for zone in kind.zones for spot in (True, False)}
    refused = set(random.sample(list(every), 60))
    selector = OfferSelector(kinds, refused)
    for _ in range(500):
        changes: dict[str, Any] = {"cores": random.choice([1.0, 2.0, 3.0, 9.0]), "rungs": random.randrange(1, 9)}
        spec = msgspec.convert(job(loaners=random.random() < 0.5, **changes), JobSpec)
        need, zones, weigh = random.randrange(1, 12), random.sample(["za", "zb", "zc"], 2), random.random() < 0.5
        costs = []
        for offer in every.keys() - refused:
            kind = every[offer]
            if offer.zone in zones and fits(spec, kind) and (spec.spot or not offer.spot):
                tasks = max(1, min(int(kind.cpus / spec.cpus), 4, spec.tasks, need))  # memory holds 4
                price = kind.spot_price if offer.spot else kind.price
                costs.append((price / tasks * (kind.boot_s if weigh else 1.0), offer))
        expected = min(costs)[1] if costs else None
        assert selector.cheapest(spec, need, zones, (True, False), weigh) == expected
