"""Placement and limits while machines are lost, leaders change and jobs are cancelled: what may still run counts."""

from __future__ import annotations

from typing import Any

import pytest

from ladderfield.clocks import CLOCKS
from ladderfield.testing import accepted, job
from ladderfield.testing.leader import EPOCH_NOW, SchedulerHarness, launched, rung

LEASE = 12.0 * CLOCKS
GRACE = 36.0  # how long an earlier leader may answer


def left(*jobs: tuple[dict[str, Any], str], cancelled: bool = False) -> SchedulerHarness:
    """What an earlier leader left.

    Of each job so many first tasks are claimed, each on a machine of its own, whose zone the text names (``a`` is za).
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


def placed(harness: SchedulerHarness, since: float, until: float, without: str = "") -> str:
    """Machines with room report in both zones, every second; where claims of ours stand in the end."""
    now = since
    while now <= until:
        for host in ("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"):
            if host != without:
                known = harness.scheduler.machines.get(host)
                claims = [one for one in known.claims.values() if one.recorded] if known else []
                rungs = tuple(rung(one.index, one.attempt, uid=one.job.uid) for one in claims)
                harness.report(host, rungs, now=now, yard="z" + host[0])
        harness.scheduler.sweep(now)
        harness.scheduler.schedule(now)
        now += 1.0
    claims = [claim for one in harness.scheduler.jobs.values() for claim in one.claims.values()]
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
def test_tasks_that_a_successor_can_not_ask_about_count_for_placement(
    changes: dict[str, Any], silent: str, before: str, after: str | None
) -> None:
    """In their zone they may still run, for as long as an earlier leader may have renewed their lease."""
    harness = left(({"owner": "blue", **changes}, silent))
    assert placed(harness, 1.0, 2.0) == before
    assert placed(harness, 3.0, GRACE + LEASE - 1.0) == before
    whole = placed(harness, GRACE + LEASE, GRACE + LEASE + 2.0)
    assert len(whole) == changes["rungs"]
    assert after is None or whole == after
    if "oneZone" in changes:
        assert len(set(whole)) == 1
    if "spread" in changes:
        assert max(whole.count(zone) for zone in "ab") <= (changes["rungs"] + 1) // 2


@pytest.mark.parametrize("how", ["deleted", "silent", "new session"])
@pytest.mark.parametrize("placement", ["oneZone", "spread", "yard"])
def test_lost_tasks_are_replaced_where_the_others_allow_it(placement: str, how: str) -> None:
    harness = SchedulerHarness()
    where: dict[str, Any] = {placement: "zb" if placement == "yard" else True}
    harness.submit(owner="blue", rungs=3, cores=4.0, **where)
    zones = placed(harness, 1.0, 2.0)
    harness.record()
    claims = harness.scheduler.jobs["req-000001"].claims
    lost = harness.machine(claims[0].host)
    placed(harness, 3.0, 3.0)
    if how == "deleted":
        harness.scheduler.forget(lost.host, 3.5)
        assert len(placed(harness, 4.0, 5.0, lost.host)) == 3
    elif how == "silent":
        assert placed(harness, 4.0, 3.0 + LEASE - 0.5, lost.host) == zones and claims[0].host == lost.host
        placed(harness, 3.0 + LEASE, 5.0 + LEASE, lost.host)
    else:
        harness.report(lost.host, tenure=2, now=3.5, yard=lost.zone)
    again = "".join(sorted(claim.zone[1] for claim in claims.values()))
    assert len(again) == 3 and len(set(again)) == (2 if placement == "spread" else 1)
    assert how == "new session" or claims[0].host != lost.host
    assert placement == "spread" or again == zones


@pytest.mark.parametrize("how", ["deleted", "lease", "told"])
@pytest.mark.parametrize("cancelled", [False, True])
def test_a_team_at_its_limit_stays_there_until_what_it_left_is_surely_gone(cancelled: bool, how: str) -> None:
    """Its machines can't be asked when the leader changes; cancelled or not, its tasks may still run."""
    harness = left(({"rungs": 2}, "ab"), ({"rungs": 2}, "ab"), cancelled=cancelled)
    assert harness.scheduler.teams.cpus["red"] == 16.0
    harness.submit("req-000009", rungs=4, cores=4.0)
    assert placed(harness, 1.0, 25.0) == ""
    lost = [f"req-00000{number}-{index}" for number in (1, 2) for index in (0, 1)]
    if how == "lease":
        assert placed(harness, 26.0, GRACE + LEASE - 1.0) == ""
        lost = lost[:1]
    now = 26.0 if how != "lease" else GRACE + LEASE
    for count, host in enumerate(lost, 1):
        if how == "deleted":
            harness.scheduler.forget(host, now)
        elif how == "told":
            zone, (claim,) = harness.machine(host).zone, harness.machine(host).claims.values()
            harness.report(host, now=now, epoch=EPOCH_NOW - 1, yard=zone)
            assert claim in harness.machine(host).claims.values(), "it has not taken our epoch: an order may still come"
            harness.report(host, now=now, yard=zone)
        ours = placed(harness, now, now + 1.0)
        now += 2.0
        assert harness.scheduler.teams.cpus["red"] <= 16.0
        if cancelled and how == "deleted":
            assert len(ours) == count
    placed(harness, now, now)
    assert harness.scheduler.teams.cpus["red"] == 16.0
    assert not cancelled or len(harness.scheduler.jobs["req-000009"].claims) == 4


@pytest.mark.parametrize("out", ["running", "launch under way"])
def test_what_is_cancelled_on_a_machine_that_hangs_counts_until_it_is_gone(out: str) -> None:
    harness = SchedulerHarness()
    if out == "running":
        attempt = launched(harness, 1, cores=4.0, oneZone=True)
        harness.report(rungs=(rung(0, attempt),), now=2.0)
    else:
        harness.submit(rungs=1, cores=4.0)
        harness.report()
        harness.record()
        assert harness.scheduler.sessions.orders(harness.machine(), 2.0, None)
    harness.tell(phase="cancelled")
    harness.submit("req-000002", rungs=4, cores=4.0)
    placed(harness, 3.0, 12.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0 and len(harness.scheduler.jobs["req-000002"].claims) == 3
    harness.scheduler.forget("m", 12.5)
    placed(harness, 13.0, 14.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0 and len(harness.scheduler.jobs["req-000002"].claims) == 4
