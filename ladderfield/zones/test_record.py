"""The record of zones: what a successor makes of it, and what it does not believe."""

from __future__ import annotations

from typing import Any

import pytest

from ladderfield.testing.scripted_fleet import ScriptedFleet
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.health import Timing, ZoneHealth, ZoneState
from ladderfield.zones.options import ZoneFlags, check
from ladderfield.zones.order import parse_order
from ladderfield.zones.record import ZONES, ZoneRecord
from ladderfield.zones.waves import Return

WALL = 5000.0
ENTRY = {"state": "lost", "since": WALL - 20, "failures": 2, "failed_at": WALL - 20}


def loaded(value: Any, caplog: pytest.LogCaptureFixture) -> tuple[dict[str, Any], ZoneRecord]:
    record = ZoneRecord(16.0, WALL)
    return dict(record.load(value, 7, 0.0)), record


def test_what_is_written_is_read_back(caplog: pytest.LogCaptureFixture) -> None:
    health = ZoneHealth("zb", Timing(12.0, 8.0), 0.0)
    health.resume(ZoneState.PROBATION, -4.0, 3, -9.0, -5.0)
    record = ZoneRecord(16.0, WALL)
    order = parse_order("production,standard,best_effort")
    record.update({"za": ZoneHealth("za", Timing(12.0, 8.0), 0.0), "zb": health}, {"zb": Return("zb", order, 1)})
    assert record.dirty and set(record.value()["zones"]) == {"zb"}, "what is as ever is left out"
    entries, other = loaded(record.value(), caplog)
    entry = entries["zb"]
    assert (entry.state, entry.since, entry.failures, entry.failed_at) == (ZoneState.PROBATION, -4.0, 3, -9.0)
    assert (entry.held_from, entry.wave, other.stamp, other.dirty) == (-5.0, 1, 7, False)


@pytest.mark.parametrize(
    "value",
    [
        17,
        {"version": 1},
        {"version": 2, "zones": {"za": ENTRY}},
        {"version": 1, "zones": {"za": ENTRY | {"state": "odd"}}},
        {"version": 1, "zones": {"za": ENTRY | {"failures": -1}}},
        {"version": 1, "zones": {"za": ENTRY | {"failures": 10**6}}},
        {"version": 1, "zones": {"za": ENTRY | {"since": WALL - 10**6}}},
        {"version": 1, "zones": {f"z{number}": ENTRY for number in range(1000)}},
    ],
)
def test_what_can_not_be_used_is_ignored_told_once_and_written_anew(
    value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    entries, record = loaded(value, caplog)
    assert entries == {} and record.dirty and record.stamp == 7
    assert len([one for one in caplog.records if "record of zones is ignored" in one.message]) == 1
    assert record.value() == {"version": 1, "zones": {}}


def test_times_in_the_future_count_as_now(caplog: pytest.LogCaptureFixture) -> None:
    entries, _ = loaded({"version": 1, "zones": {"za": ENTRY | {"since": WALL + 50, "held_from": WALL + 50}}}, caplog)
    assert entries["za"].since == entries["za"].held_from == 0.0, "a hold must not last longer for it"


def test_a_record_has_a_bound() -> None:
    record = ZoneRecord(0.5, WALL)
    healths = {}
    for number in range(50):
        healths[f"z{number}"] = ZoneHealth(f"z{number}", Timing(12.0, 8.0), 0.0)
        healths[f"z{number}"].resume(ZoneState.LOST, 0.0, 1, 0.0, None)
    record.update(healths, {})
    assert 0 < record.size() <= 512


def state(fleet: ScriptedFleet) -> ZoneState:
    zones = fleet.leader.scheduler.zones
    assert isinstance(zones, ZoneCoordinator) and zones.healths["zc"].failures == 1
    return zones.healths["zc"].state


async def test_it_is_written_on_transitions_only_guarded_and_read_by_a_successor() -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(12, options)
    fleet.pass_time(6.0)
    assert ZONES not in fleet.records
    fleet.cut("zc")
    fleet.pass_time(20.0)
    value, stamp = fleet.records[ZONES]
    assert value["zones"]["zc"]["state"] == "lost"
    fleet.pass_time(3.0)
    assert fleet.records[ZONES][1] == stamp
    record = fleet.leader.scheduler.zones.record
    assert record is not None and record.stamp == stamp, "the next write is guarded by this one"
    fleet.elect()
    assert state(fleet) is ZoneState.LOST
    fleet.cut()
    fleet.pass_time(2.0)
    assert state(fleet) is ZoneState.PROBATION
    txn = fleet.leader.ledger.collect(True)
    assert txn is None, "nothing is left to write"


async def test_a_failed_guard_writes_it_again() -> None:
    options = check(ZoneFlags("production,standard"), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(3, options)
    record = fleet.leader.scheduler.zones.record
    assert record is not None
    record.dirty = True
    txn = fleet.leader.ledger.collect(True)
    assert txn is not None and txn.guards[ZONES] == 0 and not record.dirty
    fleet.leader.ledger.restamp(txn, {ZONES: 44})
    again = fleet.leader.ledger.collect(True)
    assert again is not None and again.guards[ZONES] == 44
