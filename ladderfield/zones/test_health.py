"""The states of a zone, by evidence alone."""

from __future__ import annotations

from ladderfield.zones.evidence import ZoneCounts
from ladderfield.zones.health import HOLD_MOST_S, Timing, ZoneHealth, ZoneState

LEASE_S, PROBATION_S = 12.0, 8.0


def zone() -> ZoneHealth:
    return ZoneHealth("za", Timing(LEASE_S, PROBATION_S), 0.0)


def counts(present: int, recent: int = 0, lapsed: int = 0) -> ZoneCounts:
    return ZoneCounts(present + recent + lapsed, recent + lapsed, recent + lapsed, lapsed)


def state(health: ZoneHealth) -> ZoneState:
    return health.state


def lose(health: ZoneHealth, now: float) -> None:
    """Its machines fall silent, and their leases run out."""
    health.observe(counts(0, 8), now, False)
    health.observe(counts(0, 0, 8), now + LEASE_S, False)
    assert state(health) is ZoneState.LOST


def test_a_zone_is_lost_only_once_leases_ran_out() -> None:
    health = zone()
    assert health.observe(counts(8), 1.0, False) is None
    health.observe(counts(3, 5), 5.0, False)
    assert state(health) is ZoneState.SUSPECTED
    health.observe(counts(3, 5), 16.0, False)
    assert state(health) is ZoneState.SUSPECTED, "what runs there may still go on"
    health.observe(counts(3, 0, 5), 17.0, False)
    assert state(health) is ZoneState.LOST and health.failures == 1


def test_a_zone_that_comes_back_within_its_leases_lost_nothing() -> None:
    health = zone()
    health.observe(counts(0, 8), 5.0, False)
    health.observe(counts(8), 9.0, False)
    assert state(health) is ZoneState.HEALTHY and health.failures == 0 and health.held_from is None


def test_machines_that_were_given_up_or_came_back_with_nothing_are_lost_too() -> None:
    health = zone()
    health.observe(counts(4, 4), 5.0, False)
    health.lost_since = 4
    health.observe(counts(4), 9.0, False)
    assert state(health) is ZoneState.LOST


def test_a_single_machine_or_a_small_zone_tells_nothing() -> None:
    for evidence in (counts(1, 1), counts(0, 2), counts(7, 1), counts(0, 1)):
        health = zone()
        health.observe(evidence, 5.0, False)
        assert state(health) is ZoneState.HEALTHY, evidence


def test_a_zone_without_machines_keeps_its_state() -> None:
    health = zone()
    health.observe(counts(0), 5.0, False)
    assert state(health) is ZoneState.HEALTHY
    lose(health, 10.0)
    health.observe(counts(0), 30.0, False)
    assert state(health) is ZoneState.LOST


def test_probation_needs_steady_heartbeats_from_half_of_the_zone() -> None:
    health = zone()
    lose(health, 0.0)
    health.observe(counts(3, 0, 5), 20.0, False)
    assert state(health) is ZoneState.LOST and health.held_from == 20.0
    health.observe(counts(4, 0, 4), 22.0, False)
    assert state(health) is ZoneState.PROBATION
    health.observe(counts(3, 1, 4), 28.0, False)  # the stretch begins anew
    health.observe(counts(5, 0, 3), 31.0, False)
    assert state(health) is ZoneState.PROBATION
    health.observe(counts(5, 0, 3), 36.0, False)
    assert state(health) is ZoneState.HEALTHY


def test_half_of_a_zone_that_stays_away_is_no_new_failure() -> None:
    health = zone()
    lose(health, 0.0)
    for now in (20.0, 24.0, 28.0, 40.0):
        health.observe(counts(4, 0, 4), now, False)
    assert state(health) is ZoneState.HEALTHY and health.failures == 1


def test_lost_again_on_probation_goes_back_at_once_and_counts() -> None:
    health = zone()
    lose(health, 0.0)
    health.observe(counts(8), 20.0, False)
    health.observe(counts(3, 5), 24.0, False)
    assert state(health) is ZoneState.LOST and health.failures == 2


def test_each_failure_lengthens_the_next_probation_within_a_bound_and_fades() -> None:
    health, lengths = zone(), []
    for number in range(6):
        lose(health, 100.0 * number)
        health.observe(counts(8), 100.0 * number + 30, False)
        lengths.append(health.probation_s(False))
        health.observe(counts(8), 100.0 * number + 30 + HOLD_MOST_S, False)
        assert state(health) is ZoneState.HEALTHY
    assert lengths == [8.0, 16.0, 32.0, HOLD_MOST_S, HOLD_MOST_S, HOLD_MOST_S]
    for number in range(1, 4):
        health.observe(counts(8), 600.0 + number * 10.1 * LEASE_S, False)
    assert health.failures == 3


def test_a_named_window_lengthens_probation_within_the_same_bound() -> None:
    health = zone()
    lose(health, 0.0)
    assert health.probation_s(True) == 2 * health.probation_s(False)
    health.failures = 9
    assert health.probation_s(True) == HOLD_MOST_S


def test_every_hold_ends_in_half_of_the_time_that_a_job_may_wait() -> None:
    health = zone()
    lose(health, 0.0)
    health.observe(counts(1, 0, 7), 20.0, False)
    assert state(health) is ZoneState.LOST and health.held_from == 20.0
    assert health.holding(19.9 + HOLD_MOST_S) and not health.holding(20.0 + HOLD_MOST_S)
    assert HOLD_MOST_S <= 45.0
    health.observe(counts(0, 1, 7), 30.0, False)
    assert health.held_from is None, "what is not there holds nothing"
