"""Jobs on a simulated cluster, from submission to end: the answers to users and the tasks that run."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.http import Client, NoAnswerError
from ladderfield.testing import job
from ladderfield.testing.cluster import cluster


async def test_a_job_runs_and_every_controller_reports_the_same_phase(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(1, rungs=5)
        await whole.wait_for_phase(2, uid, "running", 20)
        await whole.wait_for_phase(0, uid, "done", 40)
        assert [await whole.phase(node, uid) for node in range(3)] == ["done"] * 3
        assert sorted(name for _, name, _ in whole.starts(uid)) == [f"{uid}/{n}" for n in range(5)]
        status, answer = await whole.call(1, "POST", "/api/jobs", whole.jobs[uid])
        assert (status, answer["phase"]) == (200, "done")
        await trio.sleep(2)
        assert not [key for key in whole.state.keys if key.startswith("lf/j/")]


async def test_idle_machines_are_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit()
        await whole.wait_for_phase(0, uid, "done", 40)
        await trio.sleep(40)
        assert whole.cloud.hosts == {}


async def test_a_job_is_done_only_when_its_last_task_is(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=4)
        slow = await whole.worker_running(uid)
        for name in slow.active_tasks():
            slow.phase_ends[name] = trio.current_time() + 60
        await trio.sleep(30)
        assert await whole.phase(1, uid) == "running"
        await whole.wait_for_phase(1, uid, "done", 40)


async def test_unknown_jobs_are_answered_404(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        assert await whole.phase(0, "req-999999") == "404"
        assert await whole.phase(0, "nonsense") == "404"
        status, _ = await whole.call(0, "POST", "/api/jobs/req-999999/cancel")
        assert status == 404


async def test_without_a_provably_fresh_view_only_final_phases_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        finished = await whole.submit(uid="req-000001")
        await whole.wait_for_phase(0, finished, "done", 40)
        running = await whole.submit(uid="req-000002", rungs=3, shape="daemon")
        whole.state.down = True
        assert await whole.phase(1, finished) == "done"
        assert await whole.phase(1, running) == "503"
        assert await whole.phase(1, "req-000003") == "503"


async def test_polls_are_not_answered_from_a_stale_view(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.state.watch_lag_s = 0.5
        uid = await whole.submit(0, shape="daemon", rungs=1)
        assert await whole.phase(1, uid) in ("queued", "running")
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        assert await whole.phase(1, uid) == "cancelled"


async def test_a_late_submission_does_not_revive_a_finished_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """The job ended at another controller before this controller's view was updated."""
    async with cluster(monkeypatch) as whole:
        whole.state.watch_lag_s = 0.5
        spec = job()
        whole.jobs[spec["uid"]] = spec
        final = {"put": f"lf/f/{spec['uid']}", "value": {"phase": "cancelled"}}
        await whole.state._multi({"guards": [], "apply": [final]})
        status, answer = await whole.call(1, "POST", "/api/jobs", spec)
        assert (status, answer["phase"]) == (200, "cancelled")


async def test_a_cancellation_is_durable_and_stops_all_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.worker_running(uid)
        status, answer = await whole.call(2, "POST", f"/api/jobs/{uid}/cancel")
        assert (status, answer["phase"]) == (200, "cancelled")
        whole.crash(whole.leader())
        await trio.sleep(10)
        survivor = next(iter(whole.controllers))
        assert await whole.phase(survivor, uid) == "cancelled"
        assert not whole.active_tasks()
        status, answer = await whole.call(survivor, "POST", f"/api/jobs/{uid}/cancel")
        assert answer["phase"] == "cancelled"


async def test_an_unanswered_write_is_retried_without_running_tasks_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.state.lose_answers = 1
        spec = job(rungs=3)
        whole.jobs[spec["uid"]] = spec
        status, _ = await whole.call(0, "POST", "/api/jobs", spec)
        assert status in (200, 201)
        uid = spec["uid"]
        whole.state.lose_answers = 2
        await whole.wait_for_phase(0, uid, "done", 60)
        assert len(whole.starts(uid)) == 3


async def test_jobs_are_accepted_during_a_cloud_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.cloud.down = True
        whole.crash(0)
        whole.start(0)
        await trio.sleep(3)
        uid = await whole.submit(0)
        assert await whole.phase(1, uid) == "queued"
        whole.cloud.down = False
        await whole.wait_for_phase(1, uid, "done", 60)


async def test_unexpected_machines_are_used_or_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        rental = {"hire": "late", "flavour": "m4", "yard": "za", "loaners": False, "howMany": 2}
        client = Client("10.2.0.2", 84)
        await client.call("POST", "/machines", rental, 5.0)
        await trio.sleep(40)
        assert whole.cloud.hosts == {}


@pytest.mark.parametrize("failure", ["hanging watch", "hanging calls", "failing actor"])
async def test_after_a_failure_every_controller_answers_for_every_job(
    monkeypatch: pytest.MonkeyPatch, failure: str
) -> None:
    """The rule ``forgotten``: soon every controller answers every request about an accepted job again."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        await whole.worker_running(uid)
        controller = whole.controllers[1]
        calls = {"hanging watch": controller.client._watcher, "hanging calls": controller.client._client}
        if failure in calls:
            client = calls[failure]
            real, until = client.call, trio.current_time() + 30

            async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
                if trio.current_time() < until:
                    await trio.sleep(timeout)
                    raise NoAnswerError("half open")
                return await real(method, target, body, timeout)

            client.call = call  # type: ignore[method-assign]
            await trio.sleep(30)
        else:

            async def fail(*_: Any) -> None:
                raise RuntimeError("test failure")

            monkeypatch.setattr(controller.view, "_advance", fail)
            await trio.sleep(5)
            monkeypatch.undo()
            monkeypatch.setattr("ladderfield.http.connect", whole.net.connect)
            monkeypatch.setattr("ladderfield.peers.connect", whole.net.connect)
        second = await whole.submit(0, uid="req-000002", rungs=1)
        await whole.wait_for_phase(1, uid, "running", 15)
        await whole.wait_for_phase(1, second, "done", 60)


async def test_a_hanging_watch_makes_no_poll_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    """A half-open connection delivers neither data nor an error: a poll that needs the view makes it reconnect."""
    async with cluster(monkeypatch) as whole:
        controller = whole.controllers[1]
        real, watches = controller.client._watcher.call, [0]

        async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
            watches[0] += 1
            if watches[0] == 1:
                await trio.sleep(timeout)
                raise NoAnswerError("half open")
            return await real(method, target, body, timeout)

        controller.client._watcher.call = call  # type: ignore[method-assign]
        await whole.submit(0, uid="req-000001", shape="daemon", rungs=1)  # ends the current watch
        uid = await whole.submit(0, uid="req-000002", shape="daemon", rungs=1)
        assert await whole.phase(1, uid) in ("queued", "running")
