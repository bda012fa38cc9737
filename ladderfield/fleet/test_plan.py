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
