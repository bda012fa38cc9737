"""What is rented: not what running tasks give back in time by themselves."""

from __future__ import annotations

import pytest

from ladderfield.fleet.cloud import RENT_MOST
from ladderfield.fleet.plan import HIRES, Planner, Turnover
from ladderfield.foreman.test_desk import Stage


def test_turnover_counts_each_start_that_fits_the_time() -> None:
    ends = Turnover([(2.0, 2.0), (8.0, 2.0), (30.0, 2.0)])
    assert ends.starts(1.0, 10.0) == 0.0
    assert ends.starts(2.0, 10.0) == 2.0
    assert ends.starts(12.0, 10.0) == pytest.approx(2.0 * 2.0 + 2.0 * 1.4), "the first room serves twice, and so on"


def busy(run_s: float) -> tuple[Stage, Planner]:
    """Ten machines, all taken by tasks of a job that take so long, begun just now."""
    stage = Stage()
    for host in range(10):
        stage.report(f"m{host}", now=100.0)
    stage.submit("req-000001", owner="blue", rungs=20, expectS=run_s)
    stage.desk.schedule(100.0)
    for machine in stage.desk.machines.values():
        for claim in machine.claims.values():
            claim.running_at = 100.0
    return stage, Planner(stage.desk)


def rented(planner: Planner, now: float) -> int:
    return sum(rental.count for rental in planner.rentals(now))


def test_tasks_that_get_room_within_a_boot_rent_nothing() -> None:
    stage, planner = busy(12.0)
    stage.submit("req-000002", owner="blue", rungs=10)
    assert rented(planner, 100.0) > 0, "12 s to go, 10 s to boot"
    assert rented(planner, 104.0) == 0, "8 s to go, and half of the room is enough"
    stage.submit("req-000003", owner="blue", rungs=100)
    assert rented(planner, 104.0) > 0, "not room for all of these"


def test_small_tasks_that_end_make_no_room_for_large_ones() -> None:
    stage, planner = busy(12.0)
    stage.submit("req-000002", owner="blue", rungs=2, cores=4.0)
    assert rented(planner, 110.0) == 2


def test_a_plan_asks_for_no_more_of_one_kind_than_a_round_of_hires_brings() -> None:
    stage = Stage()
    stage.submit("req-000001", owner="blue", rungs=10_000)
    rentals = Planner(stage.desk).rentals(1.0)
    assert [rental.count for rental in rentals] == [RENT_MOST * HIRES]
