"""Controllers that crash, or lose the state service, their peers or their workers: no task runs twice."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.testing import job
from ladderfield.testing.cluster import cluster, isolate


async def test_a_crashed_leader_is_replaced_and_no_task_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=16, cores=2.0)
        await whole.worker_running(uid)
        first = whole.leader()
        whole.crash(first)
        await trio.sleep(8)
        assert whole.leader() != first
        survivor = next(iter(whole.controllers))
        await whole.wait_for_phase(survivor, uid, "done", 60)
        assert len(whole.starts(uid)) == 16


async def test_a_job_finishes_after_all_controllers_crashed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=12)
        await whole.worker_running(uid)
        for number in range(3):
            whole.crash(number)
        await trio.sleep(3)
        for number in range(3):
            whole.start(number)
        await trio.sleep(3)
        await whole.wait_for_phase(1, uid, "done", 80)
        assert len(whole.starts(uid)) == 12


async def test_workers_reject_the_orders_of_a_deposed_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.worker_running(uid)
        old_term = whole.controllers[whole.leader()].leadership.term
        assert old_term is not None
        whole.crash(whole.leader())
        await trio.sleep(8)
        for worker in whole.cloud.workers.values():
            assert not worker.handle_orders({"epoch": old_term.epoch, "tenure": worker.session, "orders": []})


async def test_an_outage_of_the_state_service_stops_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.worker_running(uid)
        epoch = whole.controllers[whole.leader()].leadership.term.epoch  # type: ignore[union-attr]
        whole.state.down = True
        await trio.sleep(25)
        assert sum(whole.active_tasks().values()) == 2
        status, _ = await whole.call(0, "POST", "/api/jobs", job("req-000009"))
        assert status == 503
        whole.state.down = False
        await trio.sleep(5)
        assert len(whole.starts(uid)) == 2
        assert whole.controllers[whole.leader()].leadership.term.epoch == epoch  # type: ignore[union-attr]


async def test_a_leader_that_alone_loses_the_state_service_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.worker_running(uid)
        first = whole.leader()
        isolated = whole.controllers[first]

        async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
            await trio.sleep(0.01)
            return 503, b"{}"

        isolated.client._client.call = unavailable  # type: ignore[method-assign]
        await trio.sleep(15)
        assert whole.leader() != first
        assert isolated.leadership.term is None
        assert len(whole.starts(uid)) == 2
        assert sum(whole.active_tasks().values()) == 2


async def test_an_exception_in_the_scheduler_ends_only_the_term(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.worker_running(uid)
        term = whole.controllers[whole.leader()].leadership.term
        assert term is not None
        with monkeypatch.context() as broken:
            broken.setattr("ladderfield.leader.scheduler.Scheduler.schedule", lambda self, now: 1 // 0)
            await whole.submit(uid="req-000002")
            await trio.sleep(1)
        assert term.over.is_set() and len(whole.controllers) == 3
        await trio.sleep(5)
        assert whole.leader() in whole.controllers
        assert len(whole.starts(uid)) == 2 and await whole.phase(0, uid) == "running"


async def test_a_leader_isolated_from_all_but_its_workers_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3)
        await whole.worker_running(uid)
        await trio.sleep(3)
        first = whole.leader()
        await isolate(whole, first)
        status, _ = 200, None
        for _ in range(12):
            await trio.sleep(1)
            status, _ = await whole.call(first, "GET", "/ready")
        assert status == 503, "users are sent to another controller"
        assert whole.leader() != first
        other = whole.leader()
        second = await whole.submit(other, uid="req-000002", rungs=4)
        await whole.wait_for_phase(other, second, "done", 40)
        assert len(whole.starts(uid)) == 3, "no replica was restarted"


async def test_a_follower_isolated_from_all_but_its_workers_disturbs_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3)
        await whole.worker_running(uid)
        first = whole.leader()
        await isolate(whole, next(n for n in whole.controllers if n != first))
        whole.crash(first)
        await trio.sleep(0.2)
        whole.start(first)
        await trio.sleep(40)
        assert len(whole.starts(uid)) == 3 and sum(whole.active_tasks().values()) == 3


async def test_jobs_finish_after_quick_restarts_during_elections_with_unanswered_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=12)
        service = await whole.submit(uid="req-000002", shape="daemon", rungs=2)
        await whole.worker_running(uid)
        for pause in (0.05, 0.3, 1.1, 2.05):
            whole.state.lose_answers = 2
            for number in list(whole.controllers):
                whole.crash(number)
                await trio.sleep(0.05)
                whole.start(number)
            await trio.sleep(pause)
        await trio.sleep(5)
        await whole.wait_for_phase(1, uid, "done", 90)
        assert [await whole.phase(node, service) for node in range(3)] == ["running"] * 3
        assert len({name for _, name, _ in whole.starts(uid)}) == 12


async def test_a_leader_cut_from_the_state_service_alone_resigns_when_told_of_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that goes on answering its workers while the cloud, which could list them, is down."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.worker_running(uid)
        await trio.sleep(3)
        first = whole.leader()
        whole.cloud.down = True

        async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
            await trio.sleep(0.01)
            return 503, b"{}"

        isolated = whole.controllers[first]
        isolated.client._client.call = isolated.client._watcher.call = unavailable  # type: ignore[method-assign]
        await trio.sleep(8)
        assert isolated.leadership.term is None, "its peers reported the new leader"
        _, answer = await whole.call(first, "POST", "/v1/report", whole.cloud.workers["i-000000"].report())
        assert answer.get("foreman") == f"n{whole.leader()}" or answer.get("epoch") == 2, (
            "it names the new leader, or relays to it"
        )
        await trio.sleep(30)
        whole.cloud.down = False
        await trio.sleep(10)
        assert len(whole.starts(uid)) == 4


async def test_a_leader_that_no_worker_can_reach_declares_no_machine_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Peers relay the reports; that the leader's own calls fail is no evidence against the machines."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.worker_running(uid)
        await trio.sleep(3)
        first = whole.leader()
        host = f"10.0.0.{first + 1}"
        whole.net.cut_ports.add((host, 80))
        whole.net.cut_ports.update((worker.address, 90) for worker in whole.cloud.workers.values())
        await trio.sleep(60)
        assert whole.leader() == first
        assert len(whole.starts(uid)) == 4 and sum(whole.active_tasks().values()) == 4
