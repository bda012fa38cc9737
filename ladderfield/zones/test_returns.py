"""Zones that drop and return, with scripted machines: production services run again before anything else."""

from __future__ import annotations

import logging
import random

import pytest

from ladderfield.queues.pick import Tier
from ladderfield.testing.scripted_fleet import LEASE_S, ScriptedFleet
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.health import HOLD_MOST_S, ZoneState
from ladderfield.zones.options import ZoneFlags, check
from ladderfield.zones.reserve import Reservation
from ladderfield.zones.waves import may_fetch

ORDER = "production,standard,best_effort"
PORTAL, RECALC, BACKFILL = "req-000001", "req-000002", "req-000003"
AWAY_S = LEASE_S + 8.0
RETURNING = (ZoneState.SUSPECTED, ZoneState.LOST, ZoneState.PROBATION)


def started(machines: int = 12, fetch_s: float = 0.0, order: str | None = ORDER, **flags: float) -> ScriptedFleet:
    """A fleet that reports."""
    options = check(ZoneFlags(order, probation_s=flags.get("probation_s")), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(machines, options, fetch_s)
    fleet.pass_time(3.0)
    return fleet


def portal(fleet: ScriptedFleet, tasks: int, uid: str = PORTAL, **changes: object) -> None:
    """Replicas of a production service, each as large as half a machine."""
    service = {"shape": "daemon", "rank": "production", "rungs": tasks, "expectS": 0.0, "memoryGb": 8.0}
    fleet.submit(uid, **service | {"bundle": "img-portal"} | changes)


def batch(fleet: ScriptedFleet, tasks: int, uid: str = RECALC, **changes: object) -> None:
    """A recalculation, of standard priority unless said."""
    fleet.submit(uid, **{"rungs": tasks, "bundle": "img-batch", "expectS": 500.0} | changes)


def health(fleet: ScriptedFleet, zone: str = "zc") -> ZoneState:
    zones = fleet.leader.scheduler.zones
    assert isinstance(zones, ZoneCoordinator)
    return zones.healths[zone].state


def count(fleet: ScriptedFleet, uid: str, zone: str | None = None) -> int:
    """Tasks of a job that run."""
    return sum(name.startswith(f"{uid}/") for name in fleet.running(zone))


def first_start(fleet: ScriptedFleet, uid: str, zone: str, since: float) -> float | None:
    """When a task of a job first ran in a zone."""
    starts = [
        at
        for worker in fleet.workers
        if worker.zone == zone
        for at, name in worker.starts
        if at > since and name.startswith(f"{uid}/")
    ]
    return min(starts, default=None)


def watch_services_first(fleet: ScriptedFleet) -> None:
    """From now on no batch task is claimed in a zone that is lost or on probation, as long as its hold may last."""
    seen: set[int] = set()

    def check() -> None:
        zones = fleet.leader.scheduler.zones
        assert isinstance(zones, ZoneCoordinator)
        for machine in fleet.leader.scheduler.machines.values():
            one = zones.healths.get(machine.zone)
            holds = one is not None and one.state in RETURNING and one.holding(fleet.now)
            for claim in machine.claims.values():
                new = claim.attempt not in seen
                assert not (holds and new and claim.job.order[0]), f"{claim.task} in {machine.zone} at {fleet.now}"
                seen.add(claim.attempt)

    fleet.checks.append(check)


async def test_what_a_lost_zone_held_runs_elsewhere_services_first() -> None:
    fleet = started()
    portal(fleet, 8)
    batch(fleet, 12)
    fleet.pass_time(4.0)
    had = count(fleet, PORTAL, "zc")
    assert had and count(fleet, RECALC) == 12
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    assert health(fleet) is ZoneState.LOST
    assert count(fleet, PORTAL, "za") + count(fleet, PORTAL, "zb") == 8


async def test_without_the_flags_nothing_of_this_happens() -> None:
    fleet = started(order=None)
    batch(fleet, 24)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    since = fleet.now
    fleet.cut()
    fleet.pass_time(4.0)
    assert first_start(fleet, RECALC, "zc", since) is not None
    assert fleet.leader.scheduler.zones.record is None


async def test_waves_return_in_the_stated_order(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    fleet = started(fetch_s=3.0)
    watch_services_first(fleet)
    portal(fleet, 4, yard="zc")  # may run nowhere else
    batch(fleet, 20)
    batch(fleet, 20, BACKFILL, rank="best_effort")
    fleet.pass_time(8.0)
    assert count(fleet, PORTAL, "zc") == 4
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    assert count(fleet, PORTAL) == 0
    since = fleet.now
    fleet.cut()
    fleet.pass_time(30.0)
    assert count(fleet, PORTAL, "zc") == 4
    service, arrays = first_start(fleet, PORTAL, "zc", since), first_start(fleet, RECALC, "zc", since)
    assert service is not None and arrays is not None and service < arrays
    told = [one.getMessage() for one in caplog.records if one.name.startswith("ladderfield.zones")]
    assert any("wave production: job req-000001" in line for line in told)
    assert any("zone zc: lost, was suspected" in line for line in told)
    assert any("returned: production: 4 tasks" in line for line in told)
    opened = [line.split("wave ")[1].split(" ")[0] for line in told if " opens: " in line]
    assert opened == ["standard", "best_effort"]


@pytest.mark.parametrize("away", [10.0, 11.0, 12.0, 13.0, 14.0, 16.0])
async def test_a_zone_that_is_back_just_when_its_leases_ran_out(away: float) -> None:
    """Its machines come with new sessions before any lease was seen to be over: batch must not be there first."""
    fleet = started(fetch_s=2.0)
    watch_services_first(fleet)
    portal(fleet, 4, yard="zc")
    batch(fleet, 40)
    fleet.pass_time(6.0)
    fleet.cut("zc")
    fleet.pass_time(away)
    fleet.cut()
    since = fleet.now
    fleet.pass_time(25.0)
    assert count(fleet, PORTAL, "zc") == 4
    service, arrays = first_start(fleet, PORTAL, "zc", since), first_start(fleet, RECALC, "zc", since)
    assert (service is None) == (arrays is None), "all was kept, or all began anew"
    assert service is None or arrays is None or service < arrays


async def test_a_zone_whose_machines_come_back_with_nothing_was_lost() -> None:
    """Their leases ended on their clocks before they were seen to be over on ours."""
    fleet = started()
    batch(fleet, 24)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(8.0)
    assert health(fleet) is ZoneState.SUSPECTED
    for worker in fleet.workers:
        worker.answered_at -= LEASE_S if worker.cut else 0.0
    fleet.cut()
    fleet.pass_time(2.0)
    assert health(fleet) is ZoneState.PROBATION and count(fleet, RECALC, "zc") == 0


async def test_idle_machines_that_are_returned_while_silent_are_no_loss() -> None:
    """Trace of days/flapping-zone-cascade.toml, seed 64: a zone was called lost 7 s after it fell silent."""
    fleet = started()
    portal(fleet, 1, yard="zc")
    fleet.pass_time(3.0)
    fleet.cut("zc")
    fleet.pass_time(6.0)
    assert health(fleet) is ZoneState.SUSPECTED
    idle = [worker.host for worker in fleet.workers if worker.cut and not worker.rungs]
    fleet._replace(idle)
    fleet.pass_time(1.0)
    assert health(fleet) is not ZoneState.LOST and len(idle) == 3


async def test_a_machine_that_reports_before_its_zone_is_looked_at_gets_no_batch() -> None:
    """Reports and passes come many times between two looks at the zones."""
    fleet = started()
    portal(fleet, 3, yard="zc")
    batch(fleet, 30)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    fleet.cut()
    scheduler = fleet.leader.scheduler
    fleet.now += 1.0
    for worker in fleet.workers:
        worker.progress(fleet.now, fleet.run_s, fleet._endless)
    for _ in range(2):  # the first report takes the epoch of the session
        fleet.report_all()
        scheduler.schedule(fleet.now)
    claims = [claim for one in scheduler.machines.values() if one.zone == "zc" for claim in one.claims.values()]
    assert claims and all(claim.job.uid == PORTAL for claim in claims)


async def test_where_no_production_job_can_go_batch_returns_at_once() -> None:
    fleet = started()
    portal(fleet, 2, yard="za")
    batch(fleet, 24)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    since = fleet.now
    fleet.cut()
    fleet.pass_time(4.0)
    begun = first_start(fleet, RECALC, "zc", since)
    assert health(fleet) is ZoneState.PROBATION and begun is not None


async def test_services_that_run_well_elsewhere_stay_there() -> None:
    fleet = started()
    portal(fleet, 6)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    before = {name: worker.host for worker in fleet.workers for name in worker.running}
    fleet.cut()
    fleet.pass_time(40.0)
    assert {name: worker.host for worker in fleet.workers for name in worker.running} == before


async def test_a_zone_that_is_back_within_a_lease_is_not_evacuated() -> None:
    fleet = started()
    portal(fleet, 6)
    batch(fleet, 12)
    fleet.pass_time(4.0)
    before = sorted(fleet.running("zc"))
    fleet.cut("zc")
    fleet.pass_time(LEASE_S - 4.0)
    assert health(fleet) is ZoneState.SUSPECTED
    fleet.cut()
    fleet.pass_time(6.0)
    assert health(fleet) is ZoneState.HEALTHY and sorted(fleet.running("zc")) == before


async def test_a_zone_that_flaps_every_few_seconds_for_minutes() -> None:
    fleet = started(fetch_s=1.0)
    watch_services_first(fleet)
    portal(fleet, 4)
    batch(fleet, 16)
    fleet.pass_time(5.0)
    for _ in range(12):
        fleet.cut("zc")
        fleet.pass_time(7.0)
        fleet.cut()
        fleet.pass_time(5.0)
    assert count(fleet, PORTAL) == 4
    fleet.pass_time(HOLD_MOST_S + 5.0)
    assert health(fleet) is ZoneState.HEALTHY and count(fleet, RECALC) == 16


async def test_each_loss_makes_the_next_probation_longer_and_every_hold_ends() -> None:
    fleet = started()
    watch_services_first(fleet)
    portal(fleet, 1)
    batch(fleet, 23)
    fleet.pass_time(4.0)
    waits = []
    for _ in range(4):
        fleet.cut("zc")
        fleet.pass_time(AWAY_S)
        since = fleet.now
        fleet.cut()
        fleet.pass_time(HOLD_MOST_S + 4.0)
        begun = first_start(fleet, RECALC, "zc", since)
        assert begun is not None
        waits.append(begun - since)
    assert waits[0] < waits[1] < waits[2] <= waits[3] + 2 and waits[3] <= HOLD_MOST_S + 3.0


@pytest.mark.parametrize("after", [1.0, 3.0, 9.0, 12.0, 20.0])
async def test_lost_again_during_each_wave(after: float) -> None:
    fleet = started(fetch_s=2.0)
    watch_services_first(fleet)
    portal(fleet, 3, yard="zc")
    batch(fleet, 16)
    batch(fleet, 16, BACKFILL, rank="best_effort")
    fleet.pass_time(6.0)
    for away in (AWAY_S, AWAY_S):
        fleet.cut("zc")
        fleet.pass_time(away)
        fleet.cut()
        fleet.pass_time(after)
    fleet.pass_time(HOLD_MOST_S + 10.0)
    assert count(fleet, PORTAL, "zc") == 3 and count(fleet, RECALC) == 16


async def test_a_cold_machine_fetches_the_services_image_alone() -> None:
    fleet = started(machines=9, fetch_s=6.0)
    portal(fleet, 3, yard="zc")
    batch(fleet, 18, cores=1.0, memoryGb=1.0)
    fleet.pass_time(10.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    fleet.cut()

    def alone() -> None:
        for worker in fleet.workers:
            phases = {rung["image"]: rung["phase"] for rung in worker.rungs.values()}
            if worker.zone == "zc" and phases.get("img-portal") == "fetching":
                assert phases.get("img-batch") != "fetching"

    fleet.checks.append(alone)
    fleet.pass_time(30.0)
    assert count(fleet, PORTAL) == 3


async def test_concurrent_fetches_on_a_returning_machine_are_bounded() -> None:
    fleet = started(machines=9, fetch_s=6.0)
    for number in range(12):
        small = {"cores": 1.0, "memoryGb": 1.0, "bundle": f"img-{number}", "yard": "zc"}
        portal(fleet, 1, f"req-0001{number:02}", **small)
    fleet.pass_time(10.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    fleet.cut()
    most = []

    def fetching() -> None:
        for worker in fleet.workers:
            images = {rung["image"] for rung in worker.rungs.values() if rung["phase"] == "fetching"}
            most.append(len(images))

    fleet.checks.append(fetching)
    fleet.pass_time(30.0)
    assert max(most) == 2 and len([name for name in fleet.running() if name.startswith("req-0001")]) == 12


async def test_a_service_that_can_not_be_placed_holds_nobody() -> None:
    fleet = started(probation_s=2.0)
    portal(fleet, 1, memoryGb=16.0, cores=4.0)
    portal(fleet, 9, "req-000009", memoryGb=16.0, cores=4.0, owner="red")  # over the team's limit of 16 cores
    batch(fleet, 30)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    since = fleet.now
    fleet.cut()
    fleet.pass_time(8.0)
    assert first_start(fleet, RECALC, "zc", since) is not None


async def test_two_zones_at_once_and_one_zones_hold_does_not_touch_others() -> None:
    fleet = started(machines=15)
    watch_services_first(fleet)
    portal(fleet, 4)
    batch(fleet, 30)
    fleet.pass_time(4.0)
    fleet.cut("zb", "zc")
    fleet.pass_time(AWAY_S)
    assert health(fleet, "zb") is health(fleet, "zc") is ZoneState.LOST
    assert count(fleet, PORTAL, "za") == 4, "services first, in place of batch if need be"
    fleet.cut("zc")
    fleet.pass_time(14.0)
    assert health(fleet, "zb") is ZoneState.HEALTHY and count(fleet, RECALC, "zb") > 0
    fleet.cut()
    fleet.pass_time(3.0)
    batch(fleet, 4, "req-000007")
    fleet.pass_time(3.0)
    assert health(fleet, "zc") is ZoneState.PROBATION and count(fleet, RECALC, "zc") == 0


@pytest.mark.parametrize("state", [ZoneState.SUSPECTED, ZoneState.LOST, ZoneState.PROBATION, ZoneState.HEALTHY])
async def test_the_leader_changes_in_each_state(state: ZoneState) -> None:
    fleet = started()
    watch_services_first(fleet)
    portal(fleet, 3, yard="zc")
    batch(fleet, 21)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S if state is not ZoneState.SUSPECTED else 5.0)
    if state in (ZoneState.PROBATION, ZoneState.HEALTHY):
        fleet.cut()
        fleet.pass_time(3.0 if state is ZoneState.PROBATION else 9.0)
    assert health(fleet) is state
    fleet.elect()
    fleet.pass_time(2.0)
    fleet.cut()
    fleet.pass_time(HOLD_MOST_S + 10.0)
    assert health(fleet) is ZoneState.HEALTHY
    assert count(fleet, PORTAL, "zc") == 3 and count(fleet, RECALC) == 21


async def test_half_of_a_zone_returns() -> None:
    fleet = started(machines=18)
    portal(fleet, 3)
    batch(fleet, 27)
    fleet.pass_time(4.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    for number, worker in enumerate(worker for worker in fleet.workers if worker.zone == "zc"):
        worker.cut = number % 2 == 0
    fleet.pass_time(14.0)
    assert health(fleet) is ZoneState.HEALTHY and count(fleet, RECALC) == 27


async def test_batch_leaves_the_last_places_to_services_that_are_still_to_be_moved() -> None:
    fleet = started(machines=9)
    portal(fleet, 2, yard=None, cores=4.0, memoryGb=16.0)
    fleet.pass_time(4.0)
    zones = [worker.zone for worker in fleet.workers for name in worker.running if name.startswith(PORTAL)]
    fleet.cut(zones[0])
    fleet.pass_time(5.0)
    batch(fleet, 12, cores=4.0)
    fleet.pass_time(4.0)
    held = sum(worker.zone == zones[0] for worker in fleet.workers for name in worker.running)
    free = [worker for worker in fleet.workers if not worker.cut and not worker.rungs]
    assert held and len(free) >= held, "a place for each replica that its zone may lose"
    fleet.pass_time(AWAY_S)
    assert count(fleet, PORTAL) == 2
    fleet.pass_time(HOLD_MOST_S)
    assert not [worker for worker in fleet.workers if not worker.cut and not worker.rungs], "no hold is for ever"


async def test_no_machines_are_rented_in_a_lost_zone_for_a_bounded_time() -> None:
    fleet = started()
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    scheduler = fleet.leader.scheduler
    portal(fleet, 1)
    spec = scheduler.jobs[PORTAL].spec
    assert not scheduler.zones.rents_in("zc", spec, fleet.now) and scheduler.zones.rents_in("za", spec, fleet.now)
    scheduler.zones.controllers_checked({"zc": True})
    assert scheduler.zones.rents_in("zc", spec, fleet.now), "its controllers answer"
    scheduler.zones.controllers_checked({"zc": False})
    assert scheduler.zones.rents_in("zc", spec, fleet.now + HOLD_MOST_S)
    portal(fleet, 1, "req-000008", yard="zc")
    assert scheduler.zones.rents_in("zc", scheduler.jobs["req-000008"].spec, fleet.now)


async def test_reports_that_name_an_unknown_zone_harm_nothing() -> None:
    options = check(ZoneFlags(ORDER), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(12, options)
    for worker in fleet.workers[:6]:
        worker.zone = "nowhere"
    fleet.pass_time(4.0)
    assert "nowhere" in fleet.leader.scheduler.detector.zones
    fleet.cut("nowhere")
    fleet.pass_time(AWAY_S)
    zones = fleet.leader.scheduler.zones
    assert isinstance(zones, ZoneCoordinator) and "nowhere" not in zones.healths


@pytest.mark.parametrize("seed", range(6))
async def test_random_flaps(seed: int) -> None:
    """After each step: one owner for each task, services before batch, and every hold ends in its bound."""
    rng = random.Random(seed)
    fleet = started(machines=12, fetch_s=rng.choice([0.0, 2.0, 5.0]))
    watch_services_first(fleet)
    portal(fleet, 4)
    portal(fleet, 2, "req-000004", yard="zc")
    batch(fleet, 12)
    batch(fleet, 6, BACKFILL, rank="best_effort")
    fleet.pass_time(8.0)
    for _ in range(14):
        fleet.cut(*rng.sample(["za", "zb", "zc"], rng.choice([0, 0, 1, 1, 2])))
        fleet.pass_time(rng.choice([2.0, 5.0, 8.0, 15.0, 24.0]))
        if rng.random() < 0.2:
            fleet.elect()
    fleet.cut()
    fleet.pass_time(HOLD_MOST_S + 20.0)
    assert count(fleet, PORTAL) == 4 and count(fleet, "req-000004", "zc") == 2
    assert count(fleet, RECALC) + count(fleet, BACKFILL) == 18, "no job waits beside free room"


async def test_a_service_goes_to_a_zone_on_probation_only_where_no_other_has_room() -> None:
    fleet = started()
    fleet.cut("za")  # whose machines would ask first
    fleet.pass_time(AWAY_S)
    fleet.cut()
    fleet.pass_time(2.0)
    assert health(fleet, "za") is ZoneState.PROBATION
    portal(fleet, 2)
    fleet.pass_time(3.0)
    assert count(fleet, PORTAL) == 2 and count(fleet, PORTAL, "za") == 0


async def test_while_a_zone_is_evacuated_services_come_before_what_is_owed_to_teams() -> None:
    fleet = started()
    portal(fleet, 1)
    batch(fleet, 2, owner="red")  # within its guarantee
    jobs = fleet.leader.scheduler.jobs
    owed, service = Tier(True, {jobs[RECALC]}), Tier(False, {jobs[PORTAL]})
    zones = fleet.leader.scheduler.zones
    assert zones.order_tiers([owed, service]) == [owed, service]
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    assert zones.order_tiers([owed, service]) == [service, owed]
    fleet.pass_time(HOLD_MOST_S)
    assert health(fleet) is ZoneState.LOST and zones.order_tiers([owed, service]) == [owed, service]


async def test_while_a_service_waits_for_its_image_batch_gets_no_share_of_the_machine() -> None:
    """Also when batch may return already, and a service comes later."""
    fleet = started(fetch_s=9.0)
    batch(fleet, 1, memoryGb=1.0)
    portal(fleet, 1)
    fleet.pass_time(3.0)
    jobs, machines = fleet.leader.scheduler.jobs, fleet.leader.scheduler.machines.values()
    (fetching,) = (one for one in machines if (PORTAL, 0) in one.claims)
    idle = next(one for one in machines if not one.claims)
    assert not may_fetch(fetching, jobs[RECALC]) and may_fetch(fetching, jobs[PORTAL])
    assert may_fetch(idle, jobs[RECALC])
    fleet.pass_time(9.0)
    assert may_fetch(fetching, jobs[RECALC])


async def test_a_reservation_counts_what_was_placed() -> None:
    fleet = started(machines=4)
    portal(fleet, 2, cores=4.0, memoryGb=16.0)
    batch(fleet, 1)
    scheduler = fleet.leader.scheduler
    first, second, third, fourth = sorted(scheduler.machines.values(), key=lambda one: one.host)
    service, array = scheduler.jobs[PORTAL], scheduler.jobs[RECALC]
    kept = Reservation([service, service], [first, second, third])
    assert kept.allows(first, array.spec)
    kept.claimed(scheduler.claim(array, 0, first, first.host, fleet.now), first)
    assert not kept.allows(second, array.spec), "two places are left for two"
    assert kept.allows(first, array.spec), "where none fits any more there is nothing to keep"
    kept.claimed(scheduler.claim(service, 0, second, second.host, fleet.now), second)
    assert not kept.allows(third, array.spec)
    one_kept = Reservation([service], [third, fourth])
    one_kept.claimed(scheduler.claim(service, 1, third, third.host, fleet.now), third)
    assert one_kept.allows(fourth, array.spec), "the service has its place"


async def test_no_room_is_cleared_where_the_return_does_not_allow_the_task(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = started(machines=3)
    batch(fleet, 6)
    fleet.pass_time(3.0)
    assert count(fleet, RECALC) == 6
    monkeypatch.setattr(ZoneCoordinator, "admits", lambda self, machine, job: False)
    portal(fleet, 1)
    fleet.pass_time(3.0)
    assert count(fleet, RECALC) == 6


async def test_what_a_successor_finds_running_did_not_return() -> None:
    fleet = started()
    portal(fleet, 4, yard="zc")
    fleet.pass_time(3.0)
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    fleet.cut()
    fleet.pass_time(3.0)
    assert health(fleet) is ZoneState.PROBATION and count(fleet, PORTAL) == 4
    fleet.elect()
    fleet.pass_time(3.0)
    zones = fleet.leader.scheduler.zones
    assert isinstance(zones, ZoneCoordinator) and not zones.return_log.returned


async def test_services_of_several_teams_at_their_limits() -> None:
    """A team at its limit keeps no other waiting, and gets its own back when its zone returns."""
    fleet = started(machines=15)
    watch_services_first(fleet)
    portal(fleet, 4, owner="red", cores=4.0, memoryGb=16.0)  # 16 cores, which is all that the team may use
    portal(fleet, 2, "req-000010", owner="red", cores=4.0, memoryGb=16.0)
    portal(fleet, 4, "req-000011", yard="zc")
    batch(fleet, 16)
    fleet.pass_time(6.0)
    assert count(fleet, PORTAL) + count(fleet, "req-000010") == 4
    fleet.cut("zc")
    fleet.pass_time(AWAY_S)
    fleet.cut()

    def within_limit() -> None:
        red = [name for name in fleet.running() if name.startswith((PORTAL, "req-000010"))]
        assert len(red) <= 4

    fleet.checks.append(within_limit)
    fleet.pass_time(HOLD_MOST_S + 10.0)
    assert count(fleet, PORTAL) + count(fleet, "req-000010") == 4
    assert count(fleet, "req-000011", "zc") == 4 and count(fleet, RECALC) == 16
