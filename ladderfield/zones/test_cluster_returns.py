"""A zone is lost and returns while another component fails; complete controllers on an autojump clock."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from ladderfield.testing import Worker
from ladderfield.testing.cluster import Cluster, cluster, isolate
from ladderfield.zones.coordinator import ZoneCoordinator
from ladderfield.zones.health import MAX_HOLD_S
from ladderfield.zones.options import ZoneFlags, check

SERVICE, BATCH = "req-000001", "req-000002"
REPLICAS, BATCH_TASKS = 3, 60
OUTAGE_S = 24.0  # two leases
ZONE = "zb"

Fault = Callable[[Cluster], None]


def workers(system: Cluster, zone: str) -> list[Worker]:
    """The running workers of a zone."""
    return [
        worker for worker in system.cloud.workers.values() if worker.report_fields["yard"] == zone and not worker.dead
    ]


def replicas(system: Cluster) -> int:
    """The number of running replicas of the service."""
    return sum(name.startswith(SERVICE) for name in system.active_tasks())


def cut_zone(system: Cluster) -> None:
    """Cut off the zone's machines, including machines rented during the outage."""
    system.cut_zones.add(ZONE)
    system.net.cut.update(worker.address for worker in workers(system, ZONE))


def reconnect_zone(system: Cluster) -> None:
    """Reconnect the zone's machines."""
    system.cut_zones.clear()
    system.net.cut.difference_update(worker.address for worker in system.cloud.workers.values())


async def wait_until_restored(system: Cluster) -> float:
    """Wait until all replicas run; returns the time."""
    with trio.fail_after(200.0):
        while replicas(system) < REPLICAS:
            await trio.sleep(0.1)
    return trio.current_time()


async def submit_jobs(system: Cluster) -> None:
    """Submit a service that may run in one zone only, and batch tasks that fill the remaining capacity."""
    system.cloud.capacity = 14
    await system.submit(
        uid=SERVICE, shape="daemon", rank="production", rungs=REPLICAS, cores=4.0, memoryGb=16.0, yard=ZONE,
        owner="blue", loaners=False,
    )  # fmt: skip
    await wait_until_restored(system)
    system.run_s = 400.0
    await system.submit(uid=BATCH, rungs=BATCH_TASKS, owner="blue", loaners=False, expectS=400.0, yard=ZONE)
    await trio.sleep(30.0)


async def check_outage_and_return(system: Cluster, inject: Fault, recover: Fault) -> None:
    """Cut the zone off for two leases; a fault begins as it returns and lasts for 8 s."""
    cut_zone(system)
    await trio.sleep(OUTAGE_S)
    inject(system)
    reconnect_zone(system)
    returned_at = trio.current_time()
    await trio.sleep(8.0)
    recover(system)
    restored_at = await wait_until_restored(system)
    early_starts = [at for at, _, _ in system.starts(BATCH) if returned_at < at < restored_at]
    assert early_starts == [], (
        f"batch after {early_starts[0] - returned_at:.1f} s, the service after {restored_at - returned_at:.1f} s"
    )
    await trio.sleep(MAX_HOLD_S + 30.0)
    assert any(at > restored_at for at, _, _ in system.starts(BATCH)), "batch returns"
    assert replicas(system) == REPLICAS


def no_change(system: Cluster) -> None:
    """Inject no fault."""


def state_down(system: Cluster) -> None:
    """Stop the state service."""
    system.state.down = True


def state_up(system: Cluster) -> None:
    """Restore the service."""
    system.state.down = False


def cloud_down(system: Cluster) -> None:
    """Stop the cloud API."""
    system.cloud.down = True


def cloud_up(system: Cluster) -> None:
    """Restore the service."""
    system.cloud.down = False


def stop_receiving(system: Cluster) -> None:
    """One machine of the zone reports but receives no answers."""
    for worker in workers(system, ZONE)[:1]:
        worker.drop_incoming = True


def stop_reporting(system: Cluster) -> None:
    """One machine of the zone can't open connections but receives commands."""
    for worker in workers(system, ZONE)[:1]:
        worker.reporting_disabled = True


def crash_leader(system: Cluster) -> None:
    """Crash and restart the leader."""
    number = system.leader()
    system.crash(number)
    system.start(number)


FAULTS: dict[str, tuple[Fault, Fault]] = {
    "none": (no_change, no_change),
    "state service down": (state_down, state_up),
    "cloud API down": (cloud_down, cloud_up),
    "machine receives no answers": (stop_receiving, no_change),
    "machine can not report": (stop_reporting, no_change),
    "leader crashes": (crash_leader, no_change),
}


@pytest.mark.parametrize("name", FAULTS)
async def test_services_start_before_batch_despite_other_failures(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    async with cluster(monkeypatch, zone_options=options) as system:
        await submit_jobs(system)
        await check_outage_and_return(system, *FAULTS[name])


async def test_the_return_order_holds_when_the_leader_is_lost_with_its_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    async with cluster(monkeypatch, zone_options=options) as system:
        await submit_jobs(system)
        while system.leader() != 1:  # the only controller in the zone
            system.crash(system.leader())
            for number in {0, 2} - set(system.controllers):
                await trio.sleep(6.0)
                system.start(number)
            await trio.sleep(12.0)
        await wait_until_restored(system)
        await isolate(system, 1)
        await check_outage_and_return(system, no_change, no_change)
        assert system.leader() != 1
        zones = system.controllers[system.leader()].leadership.term
        assert zones is not None


async def test_the_leader_learns_in_which_zones_controllers_are_reachable(monkeypatch: pytest.MonkeyPatch) -> None:
    options = check(ZoneFlags("production,standard,best_effort"), ["za", "zb"], 0.0)
    checks: list[dict[str, bool]] = []
    monkeypatch.setattr(
        ZoneCoordinator, "on_controllers_checked", lambda self, reachable: checks.append(dict(reachable))
    )
    async with cluster(monkeypatch, zone_options=options) as system:
        await trio.sleep(6.0)
        assert checks[-1] == {"za": True, "zb": True}
        if system.leader() == 1:
            return
        system.crash(1)
        await trio.sleep(6.0)
        assert checks[-1] == {"za": True, "zb": False}
