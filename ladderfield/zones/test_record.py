"""The record of zone states: round trip, validation, size limit and handover to the next leader."""

from __future__ import annotations

from typing import Any

import pytest

from ladderfield.testing.scripted_fleet import ScriptedFleet
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.health import Timing, ZoneHealth, ZoneState
from ladderfield.zones.options import ZoneFlags, check
from ladderfield.zones.order import parse_order
from ladderfield.zones.record import ZONES_KEY, ZoneRecord
from ladderfield.zones.waves import ZoneReturn

WALL_OFFSET = 5000.0
ENTRY = {"state": "lost", "since": WALL_OFFSET - 20, "failures": 2, "failed_at": WALL_OFFSET - 20}


def load_record(value: Any, caplog: pytest.LogCaptureFixture) -> tuple[dict[str, Any], ZoneRecord]:
    record = ZoneRecord(16.0, WALL_OFFSET)
    return dict(record.load(value, 7, 0.0)), record


def test_a_written_record_is_read_back(caplog: pytest.LogCaptureFixture) -> None:
    health = ZoneHealth("zb", Timing(12.0, 8.0), 0.0)
    health.restore(ZoneState.PROBATION, -4.0, 3, -9.0, -5.0)
    record = ZoneRecord(16.0, WALL_OFFSET)
    order = parse_order("production,standard,best_effort")
    record.update({"za": ZoneHealth("za", Timing(12.0, 8.0), 0.0), "zb": health}, {"zb": ZoneReturn("zb", order, 1)})
    assert record.dirty and set(record.value()["zones"]) == {"zb"}, "healthy zones are left out"
    entries, other = load_record(record.value(), caplog)
    entry = entries["zb"]
    assert (entry.state, entry.since, entry.failures, entry.failed_at) == (ZoneState.PROBATION, -4.0, 3, -9.0)
    assert (entry.held_from, entry.wave, other.revision, other.dirty) == (-5.0, 1, 7, False)


@pytest.mark.parametrize(
    "value",
    [
        17,
        {"version": 1},
        {"version": 2, "zones": {"za": ENTRY}},
        {"version": 1, "zones": {"za": ENTRY | {"state": "odd"}}},
        {"version": 1, "zones": {"za": ENTRY | {"failures": -1}}},
        {"version": 1, "zones": {"za": ENTRY | {"failures": 10**6}}},
        {"version": 1, "zones": {"za": ENTRY | {"since": WALL_OFFSET - 10**6}}},
        {"version": 1, "zones": {f"z{number}": ENTRY for number in range(1000)}},
    ],
)
def test_an_invalid_record_is_ignored_logged_once_and_rewritten(value: Any, caplog: pytest.LogCaptureFixture) -> None:
    entries, record = load_record(value, caplog)
    assert entries == {} and record.dirty and record.revision == 7
    assert len([entry for entry in caplog.records if "record of zones is ignored" in entry.message]) == 1
    assert record.value() == {"version": 1, "zones": {}}


def test_times_in_the_future_are_read_as_now(caplog: pytest.LogCaptureFixture) -> None:
    entries, _ = load_record(
        {"version": 1, "zones": {"za": ENTRY | {"since": WALL_OFFSET + 50, "held_from": WALL_OFFSET + 50}}}, caplog
    )
    assert entries["za"].since == entries["za"].held_from == 0.0, "a clock difference must not extend a hold"


def test_a_record_stays_within_its_size_limit() -> None:
    record = ZoneRecord(0.5, WALL_OFFSET)
    health_by_zone = {}
    for number in range(50):
        health_by_zone[f"z{number}"] = ZoneHealth(f"z{number}", Timing(12.0, 8.0), 0.0)
        health_by_zone[f"z{number}"].restore(ZoneState.LOST, 0.0, 1, 0.0, None)
    record.update(health_by_zone, {})
    assert 0 < record.size() <= 512


def state_of_zc(fleet: ScriptedFleet) -> ZoneState:
    zones = fleet.leader.scheduler.zones
    assert isinstance(zones, ZoneCoordinator) and zones.health_by_zone["zc"].failures == 1
    return zones.health_by_zone["zc"].state


async def test_the_record_is_written_on_transitions_only_guarded_and_read_by_the_next_leader() -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(12, options)
    fleet.advance(6.0)
    assert ZONES_KEY not in fleet.records
    fleet.cut("zc")
    fleet.advance(20.0)
    value, revision = fleet.records[ZONES_KEY]
    assert value["zones"]["zc"]["state"] == "lost"
    fleet.advance(3.0)
    assert fleet.records[ZONES_KEY][1] == revision
    record = fleet.leader.scheduler.zones.record
    assert record is not None and record.revision == revision, "the next write is guarded by this one"
    fleet.elect()
    assert state_of_zc(fleet) is ZoneState.LOST
    fleet.cut()
    fleet.advance(2.0)
    assert state_of_zc(fleet) is ZoneState.PROBATION
    txn = fleet.leader.ledger.collect(True)
    assert txn is None, "nothing remains to be written"


async def test_a_failed_guard_causes_another_write_of_the_record() -> None:
    options = check(ZoneFlags("production,standard"), ["za", "zb", "zc"], 0.0)
    fleet = ScriptedFleet(3, options)
    record = fleet.leader.scheduler.zones.record
    assert record is not None
    record.dirty = True
    txn = fleet.leader.ledger.collect(True)
    assert txn is not None and txn.guards[ZONES_KEY] == 0 and not record.dirty
    fleet.leader.ledger.retry_with_revisions(txn, {ZONES_KEY: 44})
    again = fleet.leader.ledger.collect(True)
    assert again is not None and again.guards[ZONES_KEY] == 44
