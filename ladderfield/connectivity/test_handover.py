"""A leader that workers can't reach hands over; at each step the cut heals and returns, or another controller fails."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
import trio

from ladderfield.connectivity.resignations import RESIGNATIONS
from ladderfield.leader.actor import Leader
from ladderfield.leader.dispatcher import Dispatcher
from ladderfield.leader.resignation import Resignation
from ladderfield.leader.writer import Writer
from ladderfield.peers import REACH
from ladderfield.rollout import REACH_EXCHANGE, VERSION_PREFIX
from ladderfield.state import StateClient
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.history import find_violations
from ladderfield.testing.link_cuts import (
    BY_REACH,
    CANCEL_S,
    CONTROLLERS,
    LATE_START_S,
    LEASE_S,
    REPORT_S,
    STATE,
    Users,
    controller_host,
    fail_controller,
    task_runs,
    worker_links,
)
from ladderfield.testing.network import Link
from ladderfield.tokens import TOKENS_PER_EPOCH, next_epoch

Disturbance = Callable[[Cluster, int], Awaitable[None]]
CUT_S, SETTLE_S = 3 * LEASE_S, 40.0
HEALED_S, RESTART_S, HELD_S = 0.5 * REPORT_S, 0.4, 0.5 * LEASE_S
REPLICAS = 4  # on one machine each; reach is not judged over fewer machines


async def heal_and_cut_again(whole: Cluster, first: int) -> None:
    """The cut heals for a short time."""
    whole.net.heal(worker_links(first))
    await trio.sleep(HEALED_S)
    whole.net.silent.update(worker_links(first))


async def another_fails(how: str, down_s: float, whole: Cluster, first: int) -> None:
    """The current leader fails, or the controller that would be next."""
    leaders = [number for number, controller in whole.controllers.items() if controller.leadership.term is not None]
    successors = [number for number in leaders if number != first]
    await fail_controller(whole, successors[0] if successors else (first + 1) % CONTROLLERS, how, down_s)


DISTURBANCES: dict[str, Disturbance] = {
    "heals and is cut again": heal_and_cut_again,
    "another is killed": partial(another_fails, "killed", LEASE_S),
    "another is held": partial(another_fails, "held", HELD_S),
    "another is back within a second": partial(another_fails, "killed", RESTART_S),
}
STEPS: dict[str, tuple[type, str]] = {
    "before the resignation": (Resignation, "_wait_for_write"),
    "between release and the next grant": (StateClient, "release_lease"),
    "while the successor reads": (Leader, "run"),
    "before it has pushed its epoch": (Dispatcher, "_push"),
    "at its first claim": (Writer, "_write"),
}


def at_step(monkeypatch: pytest.MonkeyPatch, step: str, epoch: Callable[[], int], act: Callable[[], None]) -> None:
    """Call ``act`` once, as a step of the handover begins; a successor's steps count only under a later epoch."""
    kind, method = STEPS[step]
    real, before = getattr(kind, method), epoch()
    done: list[bool] = []

    async def stepping(self: Any, *arguments: Any) -> Any:
        term = getattr(self, "term", None)
        number = self.epoch if isinstance(self, Writer) else getattr(term, "epoch", before + 1)
        if not done and (kind is Resignation or number > before):
            done.append(True)
            act()
        return await real(self, *arguments)

    monkeypatch.setattr(kind, method, stepping)


def recorded_epoch(whole: Cluster) -> int:
    return int(whole.state.keys["lf/epoch"][0]["epoch"])


async def run_service(whole: Cluster, users: Users) -> tuple[str, int]:
    """Run a service and an array until the leader is old enough to resign; the service's id and the leader."""
    whole.run_s = 6.0
    service = await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
    await users.submit(rungs=4, owner="blue")
    await trio.sleep(LEASE_S + 2 * REPORT_S)
    return service, whole.leader()


def violations(whole: Cluster, users: Users) -> list[Any]:
    return list(find_violations(task_runs(whole.cloud.workers.values()), users.answers, CANCEL_S, LATE_START_S))


@pytest.mark.parametrize("disturbance", DISTURBANCES)
@pytest.mark.parametrize("step", STEPS)
async def test_a_disturbed_handover_breaks_no_rule(
    monkeypatch: pytest.MonkeyPatch, step: str, disturbance: str
) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole, trio.open_nursery() as nursery:
        users = Users(whole)
        service, first = await run_service(whole, users)
        disturbed = trio.Event()

        def act() -> None:
            disturbed.set()
            nursery.start_soon(DISTURBANCES[disturbance], whole, first)

        at_step(monkeypatch, step, lambda: recorded_epoch(whole), act)
        nursery.start_soon(users.poll_jobs)
        whole.net.silent.update(worker_links(first))
        arrays = [await users.submit(rungs=3, owner="blue")]
        await trio.sleep(CUT_S / 2)
        arrays.append(await users.submit(rungs=3, owner="blue"))
        await trio.sleep(CUT_S / 2)
        whole.net.heal(worker_links(first))
        await trio.sleep(SETTLE_S)
        assert disturbed.is_set(), "the step was never reached"
        assert violations(whole, users) == []
        assert [await whole.phase(0, uid) for uid in arrays] == ["done"] * len(arrays)
        assert len([name for name in whole.active_tasks() if name.startswith(service)]) == REPLICAS
        nursery.cancel_scope.cancel()


async def test_a_leader_that_no_worker_reaches_resigns_and_services_keep_running(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, first = await run_service(whole, users)
        epoch = recorded_epoch(whole)
        whole.net.silent.update(worker_links(first))
        await trio.sleep(LEASE_S)
        assert whole.leader() != first and recorded_epoch(whole) == next_epoch(epoch)
        assert whole.state.keys[RESIGNATIONS][0]["member"] == f"n{first}"
        uid = await users.submit(rungs=3, owner="blue")
        await whole.wait_for_phase(whole.leader(), uid, "done", LEASE_S)
        await trio.sleep(CUT_S)
        assert len(whole.starts(service)) == REPLICAS, "no replica was interrupted"
        assert recorded_epoch(whole) == next_epoch(epoch), "and the leader stays"
        assert violations(whole, users) == []


async def test_a_resigned_leader_lets_others_go_first_and_stands_if_nobody_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waits from the vacancy that its resignation made, though it was first elected long before."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await run_service(whole, Users(whole))
        epoch, released = recorded_epoch(whole), trio.Event()
        others = {Link(controller_host(number), STATE) for number in range(CONTROLLERS) if number != first}

        def keep_others_out() -> None:
            whole.net.refused.update(others)
            released.set()

        at_step(monkeypatch, "between release and the next grant", lambda: epoch - 1, keep_others_out)
        whole.net.silent.update(worker_links(first))
        await released.wait()
        await trio.sleep(0.75 * BY_REACH.candidacy_delay_s)
        assert recorded_epoch(whole) == epoch
        await trio.sleep(BY_REACH.candidacy_delay_s)
        assert recorded_epoch(whole) == next_epoch(epoch) and whole.leader() == first, (
            "there is never no leader for long"
        )


async def test_a_leader_stays_if_no_controller_reaches_more_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await run_service(whole, Users(whole))
        for number in range(CONTROLLERS):
            whole.net.silent.update(worker_links(number))
        await trio.sleep(2 * LEASE_S)
        assert whole.leader() == first


async def test_a_lost_fleet_does_not_look_like_a_cut_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    """All machines die at once: no controller has better reach, the leader stays, and new machines do the work."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, first = await run_service(whole, users)
        for worker in whole.cloud.workers.values():
            worker.dead = True
            worker.discard_tasks()
        await trio.sleep(6 * LEASE_S)
        assert whole.leader() == first
        assert len([name for name in whole.active_tasks() if name.startswith(service)]) == REPLICAS


async def test_leadership_changes_seldom_when_every_leader_loses_its_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each leader is cut off soon after its election: the pauses between resignations grow."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, _ = await run_service(whole, users)
        epochs = [recorded_epoch(whole)]
        until = trio.current_time() + 12 * LEASE_S
        while trio.current_time() < until:
            whole.net.heal()
            whole.net.silent.update(worker_links(whole.leader()))
            await trio.sleep(LEASE_S)
            epochs.append(recorded_epoch(whole))
        assert 2 <= (epochs[-1] - epochs[0]) / TOKENS_PER_EPOCH <= 4, "after one lease, then two, then four"
        whole.net.heal()
        await trio.sleep(SETTLE_S)
        assert violations(whole, users) == []
        assert len([name for name in whole.active_tasks() if name.startswith(service)]) == REPLICAS


async def test_no_leader_resigns_while_a_controller_runs_an_older_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """An older version closes the connection on a reach message and, once elected, ignores earlier resignations."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await run_service(whole, Users(whole))
        old = f"n{(first + 1) % CONTROLLERS}"
        sent_kinds: list[int] = []
        for number, controller in whole.controllers.items():
            if f"n{number}" == old:
                continue  # it would record its level again
            controller.rollout._common_level = REACH_EXCHANGE - 1
            controller.view.data[VERSION_PREFIX + old] = ({"level": REACH_EXCHANGE - 1}, 1)
            monkeypatch.setattr(controller.links[old], "ask", recording(sent_kinds, controller.links[old].ask))
        whole.net.silent.update(worker_links(first))
        await trio.sleep(CUT_S)
        assert whole.leader() == first and REACH not in sent_kinds


def recording(sent_kinds: list[int], real: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
    """The same request, with its kind recorded."""

    async def ask(kind: int, *rest: Any) -> Any:
        sent_kinds.append(kind)
        return await real(kind, *rest)

    return ask


async def test_malformed_reach_messages_are_rejected_and_counted_and_end_no_actor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        controller = whole.controllers[whole.leader()]
        for number, body in enumerate((b"", b"\xff" * 70, b"x" * 5000), start=1):
            assert (await controller.handle_back(REACH, 0, body))[0] == 400
            assert controller.reach_exchange.refused == number
        await trio.sleep(REPORT_S)
        assert controller.succession is not None and len(controller.succession.peers) == CONTROLLERS - 1


async def test_a_leader_of_many_idle_machines_reports_only_those_that_others_can_know(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Others know only machines with claims, and reject a message that counts more."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        await run_service(whole, Users(whole))
        controller = whole.controllers[whole.leader()]
        controller.reachability.workers.set_leader_counts({"za": (4000, 3900), "zb": (100, 100)})
        now = trio.current_time()
        assert controller.reachability.total(now).known == 4100
        message = controller.reach_exchange.message(now)
        assert message.reach.known == controller.reachability.workers.on_record >= REPLICAS
        assert message.reach.reporting == 0, "none of them fell back from another leader"
        other = whole.controllers[(whole.leader() + 1) % CONTROLLERS]
        assert (await other.handle_back(REACH, 0, message.pack()))[0] == 200 and other.reach_exchange.refused == 0
