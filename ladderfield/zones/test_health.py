"""The state machine of zone health."""

from __future__ import annotations

from ladderfield.zones.evidence import ZoneCounts
from ladderfield.zones.health import MAX_HOLD_S, Timing, ZoneHealth, ZoneState

LEASE_S, PROBATION_S = 12.0, 8.0


def new_zone() -> ZoneHealth:
    return ZoneHealth("za", Timing(LEASE_S, PROBATION_S), 0.0)


def counts(reporting: int, recently_silent: int = 0, lease_expired: int = 0) -> ZoneCounts:
    return ZoneCounts(
        reporting + recently_silent + lease_expired,
        recently_silent + lease_expired,
        recently_silent + lease_expired,
        lease_expired,
    )


def state(health: ZoneHealth) -> ZoneState:
    return health.state


def lose_zone(health: ZoneHealth, now: float) -> None:
    """Make the zone's machines silent until their leases expire."""
    health.observe(counts(0, 8), now, False)
    health.observe(counts(0, 0, 8), now + LEASE_S, False)
    assert state(health) is ZoneState.LOST


def test_a_zone_is_lost_only_after_leases_expired() -> None:
    health = new_zone()
    assert health.observe(counts(8), 1.0, False) is None
    health.observe(counts(3, 5), 5.0, False)
    assert state(health) is ZoneState.SUSPECTED
    health.observe(counts(3, 5), 16.0, False)
    assert state(health) is ZoneState.SUSPECTED, "tasks there may still be running"
    health.observe(counts(3, 0, 5), 17.0, False)
    assert state(health) is ZoneState.LOST and health.failures == 1


def test_a_zone_that_returns_before_its_leases_expire_is_healthy() -> None:
    health = new_zone()
    health.observe(counts(0, 8), 5.0, False)
    health.observe(counts(8), 9.0, False)
    assert state(health) is ZoneState.HEALTHY and health.failures == 0 and health.held_from is None


def test_machines_removed_or_back_without_tasks_count_as_lost() -> None:
    health = new_zone()
    health.observe(counts(4, 4), 5.0, False)
    health.machines_lost = 4
    health.observe(counts(4), 9.0, False)
    assert state(health) is ZoneState.LOST


def test_a_single_silent_machine_or_a_small_zone_is_not_suspected() -> None:
    for evidence in (counts(1, 1), counts(0, 2), counts(7, 1), counts(0, 1)):
        health = new_zone()
        health.observe(evidence, 5.0, False)
        assert state(health) is ZoneState.HEALTHY, evidence


def test_a_zone_without_machines_keeps_its_state() -> None:
    health = new_zone()
    health.observe(counts(0), 5.0, False)
    assert state(health) is ZoneState.HEALTHY
    lose_zone(health, 10.0)
    health.observe(counts(0), 30.0, False)
    assert state(health) is ZoneState.LOST


def test_probation_requires_steady_reports_from_half_of_the_zone() -> None:
    health = new_zone()
    lose_zone(health, 0.0)
    health.observe(counts(3, 0, 5), 20.0, False)
    assert state(health) is ZoneState.LOST and health.held_from == 20.0
    health.observe(counts(4, 0, 4), 22.0, False)
    assert state(health) is ZoneState.PROBATION
    health.observe(counts(3, 1, 4), 28.0, False)  # the steady period starts over
    health.observe(counts(5, 0, 3), 31.0, False)
    assert state(health) is ZoneState.PROBATION
    health.observe(counts(5, 0, 3), 36.0, False)
    assert state(health) is ZoneState.HEALTHY


def test_machines_that_stay_silent_after_a_return_are_no_new_failure() -> None:
    health = new_zone()
    lose_zone(health, 0.0)
    for now in (20.0, 24.0, 28.0, 40.0):
        health.observe(counts(4, 0, 4), now, False)
    assert state(health) is ZoneState.HEALTHY and health.failures == 1


def test_a_loss_during_probation_is_immediate_and_counts_as_a_failure() -> None:
    health = new_zone()
    lose_zone(health, 0.0)
    health.observe(counts(8), 20.0, False)
    health.observe(counts(3, 5), 24.0, False)
    assert state(health) is ZoneState.LOST and health.failures == 2


def test_each_failure_lengthens_the_probation_up_to_a_limit_and_decays() -> None:
    health, probations = new_zone(), []
    for number in range(6):
        lose_zone(health, 100.0 * number)
        health.observe(counts(8), 100.0 * number + 30, False)
        probations.append(health.probation_s(False))
        health.observe(counts(8), 100.0 * number + 30 + MAX_HOLD_S, False)
        assert state(health) is ZoneState.HEALTHY
    assert probations == [8.0, 16.0, 32.0, MAX_HOLD_S, MAX_HOLD_S, MAX_HOLD_S]
    for number in range(1, 4):
        health.observe(counts(8), 600.0 + number * 10.1 * LEASE_S, False)
    assert health.failures == 3


def test_a_busy_window_lengthens_the_probation_up_to_the_same_limit() -> None:
    health = new_zone()
    lose_zone(health, 0.0)
    assert health.probation_s(True) == 2 * health.probation_s(False)
    health.failures = 9
    assert health.probation_s(True) == MAX_HOLD_S


def test_every_hold_ends_within_half_of_the_longest_job_wait() -> None:
    health = new_zone()
    lose_zone(health, 0.0)
    health.observe(counts(1, 0, 7), 20.0, False)
    assert state(health) is ZoneState.LOST and health.held_from == 20.0
    assert health.may_hold(19.9 + MAX_HOLD_S) and not health.may_hold(20.0 + MAX_HOLD_S)
    assert MAX_HOLD_S <= 45.0
    health.observe(counts(0, 1, 7), 30.0, False)
    assert health.held_from is None, "no hold without reporting machines"
