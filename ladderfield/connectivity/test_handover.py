"""A leader without workers hands over; at each step the cut heals and breaks again, or another controller fails."""

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
from ladderfield.rollout import REACH_EXCHANGE, VERSION
from ladderfield.state import StateClient
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.history import faults
from ladderfield.testing.link_cuts import (
    BY_REACH,
    CANCEL_S,
    CONTROLLERS,
    LATE_START_S,
    LEASE_S,
    REPORT_S,
    STATE,
    Users,
    address,
    fail,
    runs,
    without_workers,
)
from ladderfield.testing.network import Link

Trouble = Callable[[Cluster, int], Awaitable[None]]
CUT_S, SETTLE_S = 3 * LEASE_S, 40.0
HEALED_S, MOMENT_S, HELD_S = 0.5 * REPORT_S, 0.4, 0.5 * LEASE_S
REPLICAS = 4  # a machine each: fewer machines are not judged


async def heal_and_break(whole: Cluster, first: int) -> None:
    """The cut heals for a moment."""
    whole.net.mend(without_workers(first))
    await trio.sleep(HEALED_S)
    whole.net.silent.update(without_workers(first))


async def another_fails(how: str, away_s: float, whole: Cluster, first: int) -> None:
    """The controller that is leader now, or would be next."""
    holders = [number for number, one in whole.controllers.items() if one.leadership.term is not None]
    others = [number for number in holders if number != first]
    await fail(whole, others[0] if others else (first + 1) % CONTROLLERS, how, away_s)


TROUBLES: dict[str, Trouble] = {
    "heals and breaks": heal_and_break,
    "another is killed": partial(another_fails, "killed", LEASE_S),
    "another is held": partial(another_fails, "held", HELD_S),
    "another is back within a second": partial(another_fails, "killed", MOMENT_S),
}
STEPS: dict[str, tuple[type, str]] = {
    "before the resignation": (Resignation, "_wait_for_write"),
    "between release and the next grant": (StateClient, "release"),
    "while the successor reads": (Leader, "run"),
    "before it has pushed its epoch": (Dispatcher, "_push"),
    "at its first claim": (Writer, "_write"),
}


def at_step(monkeypatch: pytest.MonkeyPatch, step: str, epoch: Callable[[], int], act: Callable[[], None]) -> None:
    """Call ``act`` once, as a step of the handover begins; a successor's steps only once the epoch is another."""
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


async def settled(whole: Cluster, users: Users) -> tuple[str, int]:
    """A service and an array run under a leader that is old enough to resign; the service, and the leader."""
    whole.run_s = 6.0
    service = await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
    await users.submit(rungs=4, owner="blue")
    await trio.sleep(LEASE_S + 2 * REPORT_S)
    return service, whole.leader()


def wrong(whole: Cluster, users: Users) -> list[Any]:
    return list(faults(runs(whole.cloud.workers.values()), users.told, CANCEL_S, LATE_START_S))


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("step", STEPS)
async def test_a_handover_that_is_disturbed_breaks_no_rule(
    monkeypatch: pytest.MonkeyPatch, step: str, trouble: str
) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole, trio.open_nursery() as nursery:
        users = Users(whole)
        service, first = await settled(whole, users)
        disturbed = trio.Event()

        def act() -> None:
            disturbed.set()
            nursery.start_soon(TROUBLES[trouble], whole, first)

        at_step(monkeypatch, step, lambda: recorded_epoch(whole), act)
        nursery.start_soon(users.look)
        whole.net.silent.update(without_workers(first))
        arrays = [await users.submit(rungs=3, owner="blue")]
        await trio.sleep(CUT_S / 2)
        arrays.append(await users.submit(rungs=3, owner="blue"))
        await trio.sleep(CUT_S / 2)
        whole.net.mend(without_workers(first))
        await trio.sleep(SETTLE_S)
        assert disturbed.is_set(), "the step was never taken"
        assert wrong(whole, users) == []
        assert [await whole.phase(0, uid) for uid in arrays] == ["done"] * len(arrays)
        assert len([name for name in whole.on() if name.startswith(service)]) == REPLICAS
        nursery.cancel_scope.cancel()


async def test_a_leader_that_no_worker_reaches_makes_way_and_services_run_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, first = await settled(whole, users)
        epoch = recorded_epoch(whole)
        whole.net.silent.update(without_workers(first))
        await trio.sleep(LEASE_S)
        assert whole.leader() != first and recorded_epoch(whole) == epoch + 1
        assert whole.state.keys[RESIGNATIONS][0]["member"] == f"n{first}"
        uid = await users.submit(rungs=3, owner="blue")
        await whole.until(whole.leader(), uid, "done", LEASE_S)
        await trio.sleep(CUT_S)
        assert len(whole.starts(service)) == REPLICAS, "no replica was interrupted"
        assert recorded_epoch(whole) == epoch + 1, "and the office stays where it is"
        assert wrong(whole, users) == []


async def test_who_resigned_lets_others_go_first_and_stands_if_nobody_does(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its first election is long ago: the vacancy that counts is the one that it made."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await settled(whole, Users(whole))
        epoch, released = recorded_epoch(whole), trio.Event()
        others = {Link(address(number), STATE) for number in range(CONTROLLERS) if number != first}

        def keep_others_out() -> None:
            whole.net.refused.update(others)
            released.set()

        at_step(monkeypatch, "between release and the next grant", lambda: epoch - 1, keep_others_out)
        whole.net.silent.update(without_workers(first))
        await released.wait()
        await trio.sleep(0.75 * BY_REACH.stand_back_s)
        assert recorded_epoch(whole) == epoch
        await trio.sleep(BY_REACH.stand_back_s)
        assert recorded_epoch(whole) == epoch + 1 and whole.leader() == first, "an office is never vacant for long"


async def test_leadership_stays_where_nobody_reaches_more_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await settled(whole, Users(whole))
        for number in range(CONTROLLERS):
            whole.net.silent.update(without_workers(number))
        await trio.sleep(2 * LEASE_S)
        assert whole.leader() == first


async def test_a_fleet_that_is_gone_is_no_cut_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    """All machines die at once: nobody has better reach, the leader stays, and other machines do the work."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, first = await settled(whole, users)
        for worker in whole.cloud.workers.values():
            worker.dead = True
            worker.lose_all()
        await trio.sleep(6 * LEASE_S)
        assert whole.leader() == first
        assert len([name for name in whole.on() if name.startswith(service)]) == REPLICAS


async def test_office_does_not_go_round_when_every_leader_loses_its_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever is leader is cut off a moment later: resignations come ever more seldom."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        users = Users(whole)
        service, _ = await settled(whole, users)
        epochs = [recorded_epoch(whole)]
        until = trio.current_time() + 12 * LEASE_S
        while trio.current_time() < until:
            whole.net.mend()
            whole.net.silent.update(without_workers(whole.leader()))
            await trio.sleep(LEASE_S)
            epochs.append(recorded_epoch(whole))
        assert 2 <= epochs[-1] - epochs[0] <= 4, "after one lease, then two, then four"
        whole.net.mend()
        await trio.sleep(SETTLE_S)
        assert wrong(whole, users) == []
        assert len([name for name in whole.on() if name.startswith(service)]) == REPLICAS


async def test_nobody_resigns_while_one_controller_is_of_an_older_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """It would close the connection on a frame of reach, and could be elected without the record of resignations."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        _, first = await settled(whole, Users(whole))
        old = f"n{(first + 1) % CONTROLLERS}"
        asked: list[int] = []
        for number, one in whole.controllers.items():
            if f"n{number}" == old:
                continue  # it would say anew what it understands
            one.rollout._everywhere = REACH_EXCHANGE - 1
            one.view.data[VERSION + old] = ({"level": REACH_EXCHANGE - 1}, 1)
            monkeypatch.setattr(one.links[old], "ask", noting(asked, one.links[old].ask))
        whole.net.silent.update(without_workers(first))
        await trio.sleep(CUT_S)
        assert whole.leader() == first and REACH not in asked


def noting(asked: list[int], real: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
    """The same question, noted."""

    async def ask(kind: int, *rest: Any) -> Any:
        asked.append(kind)
        return await real(kind, *rest)

    return ask


async def test_strange_messages_of_reach_are_refused_counted_and_end_no_actor(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        one = whole.controllers[whole.leader()]
        for number, body in enumerate((b"", b"\xff" * 70, b"x" * 5000), start=1):
            assert (await one.handle_back(REACH, 0, body))[0] == 400
            assert one.reach_exchange.refused == number
        await trio.sleep(REPORT_S)
        assert one.succession is not None and len(one.succession.peers) == CONTROLLERS - 1


async def test_a_leader_of_many_idle_machines_tells_of_those_that_others_can_know(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Others know only machines with claims: what a leader counts beyond these would be refused."""
    async with cluster(monkeypatch, reach_options=BY_REACH) as whole:
        await settled(whole, Users(whole))
        one = whole.controllers[whole.leader()]
        one.reachability.workers.counted({"za": (4000, 3900), "zb": (100, 100)})
        now = trio.current_time()
        assert one.reachability.total(now).known == 4100
        told = one.reach_exchange.message(now)
        assert told.reach.known == one.reachability.workers.on_record >= REPLICAS
        assert told.reach.heard == 0, "none of them came back from another leader"
        other = whole.controllers[(whole.leader() + 1) % CONTROLLERS]
        assert (await other.handle_back(REACH, 0, told.pack()))[0] == 200 and other.reach_exchange.refused == 0
