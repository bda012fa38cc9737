"""Placement rules and team limits while machines are lost, leaders change and jobs are cancelled.

Every task that may still run counts.
"""

from __future__ import annotations

from typing import Any

import pytest

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.testing import accepted, job
from ladderfield.testing.leader import EPOCH_NOW, TOKEN_NOW, SchedulerHarness, launch_job, reported_task

LEASE_S = 12.0 * CLOCK_DRIFT_FACTOR
GRACE_S = 36.0  # how long an earlier leader may answer reports


def inherited_harness(*jobs: tuple[dict[str, Any], str], cancelled: bool = False) -> SchedulerHarness:
    """A scheduler that took over claims of an earlier leader.

    Each job comes with a string of zone letters (``a`` is za): each letter is one claim, on a machine of its own there.
    """
    data: dict[str, Any] = {}
    for number, (changes, zones) in enumerate(jobs):
        uid = f"req-{number + 1:06}"
        claims = {str(index): [90 + index, f"{uid}-{index}"] for index in range(len(zones))}
        hosts = {f"{uid}-{index}": ["z" + zone, "10.9.0.1:90", "m4", False] for index, zone in enumerate(zones)}
        data[f"lf/j/{uid}"] = (accepted(job(uid, cores=4.0, **changes)), 4)
        data[f"lf/p/{number}"] = ({"hosts": hosts, uid: {"a": claims}}, 6)
        if cancelled:
            data[f"lf/f/{uid}"] = ({"phase": "cancelled", "at": 1000.0}, 7)
    return SchedulerHarness(data)


def zones_after(harness: SchedulerHarness, since: float, until: float, without: str = "") -> str:
    """Let machines with free capacity report every second in both zones; returns the zones of the claims made here."""
    now = since
    while now <= until:
        for host in ("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"):
            if host != without:
                known = harness.scheduler.machines.get(host)
                claims = [claim for claim in known.claims.values() if claim.recorded] if known else []
                rungs = tuple(reported_task(claim.index, claim.attempt, uid=claim.job.uid) for claim in claims)
                harness.report(host, rungs, now=now, yard="z" + host[0])
        harness.scheduler.sweep(now)
        harness.scheduler.schedule(now)
        now += 1.0
    claims = [claim for owner in harness.scheduler.jobs.values() for claim in owner.claims.values()]
    return "".join(sorted(claim.zone[1] for claim in claims if claim.attempt >> 32 == EPOCH_NOW))


@pytest.mark.parametrize(
    ("changes", "silent", "before", "after"),
    [
        ({"oneZone": True, "rungs": 3}, "b", "bb", None),
        ({"oneZone": True, "rungs": 3, "shape": "daemon"}, "bb", "b", None),
        ({"spread": True, "rungs": 4}, "aa", "bb", "aabb"),
        ({"spread": True, "rungs": 3}, "bb", "a", None),
        ({"spread": True, "rungs": 1}, "", "a", "a"),
        ({"yard": "zb", "rungs": 4}, "b", "bbb", "bbbb"),
        ({"yard": "zb", "rungs": 2}, "bb", "", "bb"),
    ],
)
def test_inherited_claims_of_silent_machines_count_for_placement(
    changes: dict[str, Any], silent: str, before: str, after: str | None
) -> None:
    """Their tasks may run for as long as an earlier leader may have renewed the lease of their machines."""
    harness = inherited_harness(({"owner": "blue", **changes}, silent))
    assert zones_after(harness, 1.0, 2.0) == before
    assert zones_after(harness, 3.0, GRACE_S + LEASE_S - 1.0) == before
    complete = zones_after(harness, GRACE_S + LEASE_S, GRACE_S + LEASE_S + 2.0)
    assert len(complete) == changes["rungs"]
    assert after is None or complete == after
    if "oneZone" in changes:
        assert len(set(complete)) == 1
    if "spread" in changes:
        assert max(complete.count(zone) for zone in "ab") <= (changes["rungs"] + 1) // 2


@pytest.mark.parametrize("how", ["deleted", "silent", "new session"])
@pytest.mark.parametrize("placement", ["oneZone", "spread", "yard"])
def test_lost_tasks_are_replaced_in_a_zone_that_the_placement_rule_allows(placement: str, how: str) -> None:
    harness = SchedulerHarness()
    where: dict[str, Any] = {placement: "zb" if placement == "yard" else True}
    harness.submit(owner="blue", rungs=3, cores=4.0, **where)
    zones = zones_after(harness, 1.0, 2.0)
    harness.write_records()
    claims = harness.scheduler.jobs["req-000001"].claims
    lost = harness.machine(claims[0].host)
    zones_after(harness, 3.0, 3.0)
    if how == "deleted":
        harness.scheduler.forget(lost.host, 3.5)
        assert len(zones_after(harness, 4.0, 5.0, lost.host)) == 3
    elif how == "silent":
        assert zones_after(harness, 4.0, 3.0 + LEASE_S - 0.5, lost.host) == zones and claims[0].host == lost.host
        zones_after(harness, 3.0 + LEASE_S, 5.0 + LEASE_S, lost.host)
    else:
        harness.report(lost.host, session=2, now=3.5, yard=lost.zone)
    zones_then = "".join(sorted(claim.zone[1] for claim in claims.values()))
    assert len(zones_then) == 3 and len(set(zones_then)) == (2 if placement == "spread" else 1)
    assert how == "new session" or claims[0].host != lost.host
    assert placement == "spread" or zones_then == zones


@pytest.mark.parametrize("how", ["deleted", "lease expired", "reported without tasks"])
@pytest.mark.parametrize("cancelled", [False, True])
def test_a_team_at_its_limit_gets_no_claims_until_its_inherited_claims_end(cancelled: bool, how: str) -> None:
    """After a leader change its machines are silent, and its tasks may still run whether they are cancelled or not."""
    harness = inherited_harness(({"rungs": 2}, "ab"), ({"rungs": 2}, "ab"), cancelled=cancelled)
    assert harness.scheduler.teams.cpus["red"] == 16.0
    harness.submit("req-000009", rungs=4, cores=4.0)
    assert zones_after(harness, 1.0, 25.0) == ""
    lost = [f"req-00000{number}-{index}" for number in (1, 2) for index in (0, 1)]
    if how == "lease expired":
        assert zones_after(harness, 26.0, GRACE_S + LEASE_S - 1.0) == ""
        lost = lost[:1]
    now = 26.0 if how != "lease expired" else GRACE_S + LEASE_S
    for count, host in enumerate(lost, 1):
        if how == "deleted":
            harness.scheduler.forget(host, now)
        elif how == "reported without tasks":
            zone, (claim,) = harness.machine(host).zone, harness.machine(host).claims.values()
            harness.report(host, now=now, epoch=TOKEN_NOW - 1, yard=zone)
            assert claim in harness.machine(host).claims.values(), (
                "an earlier leader's order may still arrive before the machine accepts our epoch"
            )
            harness.report(host, now=now, yard=zone)
        new_zones = zones_after(harness, now, now + 1.0)
        now += 2.0
        assert harness.scheduler.teams.cpus["red"] <= 16.0
        if cancelled and how == "deleted":
            assert len(new_zones) == count
    zones_after(harness, now, now)
    assert harness.scheduler.teams.cpus["red"] == 16.0
    assert not cancelled or len(harness.scheduler.jobs["req-000009"].claims) == 4


@pytest.mark.parametrize("task_state", ["running", "launch outstanding"])
def test_a_cancelled_task_on_a_hung_machine_counts_until_the_machine_is_deleted(task_state: str) -> None:
    harness = SchedulerHarness()
    if task_state == "running":
        attempt = launch_job(harness, 1, cores=4.0, oneZone=True)
        harness.report(tasks=(reported_task(0, attempt),), now=2.0)
    else:
        harness.submit(rungs=1, cores=4.0)
        harness.report()
        harness.write_records()
        assert harness.scheduler.sessions.orders(harness.machine(), 2.0, None)
    harness.record_final_state(phase="cancelled")
    harness.submit("req-000002", rungs=4, cores=4.0)
    zones_after(harness, 3.0, 12.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0 and len(harness.scheduler.jobs["req-000002"].claims) == 3
    harness.scheduler.forget("m", 12.5)
    zones_after(harness, 13.0, 14.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0 and len(harness.scheduler.jobs["req-000002"].claims) == 4
