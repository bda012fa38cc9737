"""What is rented."""

from __future__ import annotations

from ladderfield.fleet.cloud import RENT_MOST
from ladderfield.fleet.plan import HIRES, Planner
from ladderfield.foreman.test_desk import Stage


def test_a_plan_asks_for_no_more_of_one_kind_than_a_round_of_hires_brings() -> None:
    stage = Stage()
    stage.submit("req-000001", owner="blue", rungs=10_000)
    rentals = Planner(stage.desk).rentals(1.0)
    assert [rental.count for rental in rentals] == [RENT_MOST * HIRES]


def test_nothing_is_rented_for_work_in_a_zone_out_of_reach_but_one_machine_to_tell_when_that_ends() -> None:
    """Cascade's day loss: 300 machines were rented into a zone that was cut off, and ran for 70 s for nothing."""
    stage = Stage()
    for host, zone in (("a", "za"), ("b", "zb"), ("c", "zb")):
        stage.report(host, yard=zone)
    stage.report("a", yard="za", now=20.0)
    stage.desk.sweep(20.0)
    assert stage.machine("b").deleting and stage.machine("c").deleting
    stage.submit("req-000001", owner="blue", rungs=20, yard="zb")
    planner = Planner(stage.desk)
    assert [(rental.offer[1], rental.count) for rental in planner.rentals(21.0)] == [("zb", 1)]
    stage.desk.sessions.machine("d", "", "m4", "zb", False, 21.0)
    assert not planner.rentals(22.0), "one is under way"
    stage.report("d", yard="zb", now=30.0)
    assert sum(rental.count for rental in planner.rentals(30.0)) > 1, "it reports: the zone is within reach again"
