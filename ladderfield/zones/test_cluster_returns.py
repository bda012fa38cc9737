"""A zone that drops and returns while something else is in trouble too: whole controllers, a clock that jumps."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from ladderfield.testing import Worker
from ladderfield.testing.cluster import Cluster, cluster, isolate
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.health import HOLD_MOST_S
from ladderfield.zones.options import ZoneFlags, check

PORTAL, RECALC = "req-000001", "req-000002"
REPLICAS, TASKS = 3, 60
AWAY_S = 24.0  # two leases
ZONE = "zb"

Trouble = Callable[[Cluster], None]


def workers(whole: Cluster, zone: str) -> list[Worker]:
    """Workers of a zone that exist."""
    return [one for one in whole.cloud.workers.values() if one.about["yard"] == zone and not one.dead]


def replicas(whole: Cluster) -> int:
    """Replicas of the service that run."""
    return sum(name.startswith(PORTAL) for name in whole.on())


def cut(whole: Cluster) -> None:
    """The zone's machines are silent, those that are rented meanwhile too."""
    whole.cut_zones.add(ZONE)
    whole.net.cut.update(one.address for one in workers(whole, ZONE))


def mend(whole: Cluster) -> None:
    """They are back."""
    whole.cut_zones.clear()
    whole.net.cut.difference_update(one.address for one in whole.cloud.workers.values())


async def until_restored(whole: Cluster) -> float:
    """When all replicas run in the zone."""
    with trio.fail_after(200.0):
        while replicas(whole) < REPLICAS:
            await trio.sleep(0.1)
    return trio.current_time()


async def started(whole: Cluster) -> None:
    """A service that may run in one zone only, and batch work that uses whatever room there is."""
    whole.cloud.capacity = 14
    await whole.submit(
        uid=PORTAL, shape="daemon", rank="production", rungs=REPLICAS, cores=4.0, memoryGb=16.0, yard=ZONE,
        owner="blue", loaners=False,
    )  # fmt: skip
    await until_restored(whole)
    whole.run_s = 400.0
    await whole.submit(uid=RECALC, rungs=TASKS, owner="blue", loaners=False, expectS=400.0, yard=ZONE)
    await trio.sleep(30.0)


async def drop_and_return(whole: Cluster, trouble: Trouble, relief: Trouble) -> None:
    """The zone is away for two leases; the trouble begins as it returns and lasts for a while."""
    cut(whole)
    await trio.sleep(AWAY_S)
    trouble(whole)
    mend(whole)
    back_at = trio.current_time()
    await trio.sleep(8.0)
    relief(whole)
    restored_at = await until_restored(whole)
    early = [at for at, _, _ in whole.starts(RECALC) if back_at < at < restored_at]
    assert early == [], f"batch after {early[0] - back_at:.1f} s, the service after {restored_at - back_at:.1f} s"
    await trio.sleep(HOLD_MOST_S + 30.0)
    assert any(at > restored_at for at, _, _ in whole.starts(RECALC)), "and batch is back"
    assert replicas(whole) == REPLICAS


def nothing(whole: Cluster) -> None:
    """No trouble."""


def state_down(whole: Cluster) -> None:
    """The state service is out."""
    whole.state.down = True


def state_up(whole: Cluster) -> None:
    """It is back."""
    whole.state.down = False


def cloud_down(whole: Cluster) -> None:
    """The cloud is out."""
    whole.cloud.down = True


def cloud_up(whole: Cluster) -> None:
    """It is back."""
    whole.cloud.down = False


def one_deaf(whole: Cluster) -> None:
    """One machine of the zone reports, but hears nothing."""
    for one in workers(whole, ZONE)[:1]:
        one.deaf = True


def one_mute(whole: Cluster) -> None:
    """One machine of the zone can't open connections, while commands reach it."""
    for one in workers(whole, ZONE)[:1]:
        one.mute = True


def crash_leader(whole: Cluster) -> None:
    """The leader ends, and is back at once."""
    number = whole.leader()
    whole.crash(number)
    whole.start(number)


TROUBLES: dict[str, tuple[Trouble, Trouble]] = {
    "none": (nothing, nothing),
    "state service out": (state_down, state_up),
    "cloud out": (cloud_down, cloud_up),
    "a deaf machine": (one_deaf, nothing),
    "a mute machine": (one_mute, nothing),
    "leader ends": (crash_leader, nothing),
}


@pytest.mark.parametrize("name", TROUBLES)
async def test_services_are_first_whatever_else_happens(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    async with cluster(monkeypatch, zone_options=options) as whole:
        await started(whole)
        await drop_and_return(whole, *TROUBLES[name])


async def test_a_leader_that_is_lost_with_its_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    async with cluster(monkeypatch, zone_options=options) as whole:
        await started(whole)
        while whole.leader() != 1:  # the only controller in the zone
            whole.crash(whole.leader())
            for number in {0, 2} - set(whole.controllers):
                await trio.sleep(6.0)
                whole.start(number)
            await trio.sleep(12.0)
        await until_restored(whole)
        await isolate(whole, 1)
        await drop_and_return(whole, nothing, nothing)
        assert whole.leader() != 1
        zones = whole.controllers[whole.leader()].leadership.term
        assert zones is not None


async def test_the_leader_hears_which_zones_controllers_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    heard: list[dict[str, bool]] = []
    monkeypatch.setattr(ZoneCoordinator, "controllers_checked", lambda self, reachable: heard.append(dict(reachable)))
    async with cluster(monkeypatch, zone_options=options) as whole:
        await trio.sleep(6.0)
        assert heard[-1] == {"za": True, "zb": True}
        if whole.leader() == 1:
            return
        whole.crash(1)
        await trio.sleep(6.0)
        assert heard[-1] == {"za": True, "zb": False}
