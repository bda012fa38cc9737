"""Three controllers, scripted state service, cloud and workers: the protocol's rules under failures."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.http import Client, NoAnswer
from ladderfield.testing import Worker, job
from ladderfield.testing_cluster import Cluster, cluster, isolate


async def test_a_job_runs_and_every_controller_tells_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(1, rungs=5)
        await whole.until(2, uid, "running", 20)
        await whole.until(0, uid, "done", 40)
        assert [await whole.phase(node, uid) for node in range(3)] == ["done"] * 3
        assert sorted(name for _, name, _ in whole.starts(uid)) == [f"{uid}/{n}" for n in range(5)]
        status, answer = await whole.call(1, "POST", "/api/jobs", whole.jobs[uid])
        assert (status, answer["phase"]) == (200, "done")
        await trio.sleep(2)
        assert not [key for key in whole.state.keys if key.startswith("lf/j/")]


async def test_idle_machines_are_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit()
        await whole.until(0, uid, "done", 40)
        await trio.sleep(40)
        assert whole.cloud.hosts == {}


async def test_done_only_when_the_last_task_is(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=4)
        slow = await whole.busy(uid)
        for name in slow.on():
            slow.ends[name] = trio.current_time() + 60
        await trio.sleep(30)
        assert await whole.phase(1, uid) == "running"
        await whole.until(1, uid, "done", 40)


async def test_unknown_jobs_are_404_and_not_invented(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        assert await whole.phase(0, "req-999999") == "404"
        assert await whole.phase(0, "nonsense") == "404"
        status, _ = await whole.call(0, "POST", "/api/jobs/req-999999/cancel")
        assert status == 404


async def test_without_a_provably_fresh_view_only_final_states_are_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        over = await whole.submit(uid="req-000001")
        await whole.until(0, over, "done", 40)
        live = await whole.submit(uid="req-000002", rungs=3, shape="daemon")
        whole.state.down = True
        assert await whole.phase(1, over) == "done"
        assert await whole.phase(1, live) == "503"
        assert await whole.phase(1, "req-000003") == "503"


async def test_a_stale_view_is_not_answered_from(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.state.watch_lag = 0.5
        uid = await whole.submit(0, shape="daemon", rungs=1)
        assert await whole.phase(1, uid) in ("queued", "running")
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        assert await whole.phase(1, uid) == "cancelled"


async def test_a_late_submission_does_not_bring_a_job_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """The job came to its end at another controller before this one's view heard of it."""
    async with cluster(monkeypatch) as whole:
        whole.state.watch_lag = 0.5
        spec = job()
        whole.jobs[spec["uid"]] = spec
        final = {"put": f"lf/f/{spec['uid']}", "value": {"phase": "cancelled"}}
        await whole.state._multi({"guards": [], "apply": [final]})
        status, answer = await whole.call(1, "POST", "/api/jobs", spec)
        assert (status, answer["phase"]) == (200, "cancelled")


async def test_cancel_is_durable_and_takes_all_tasks_off(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.busy(uid)
        status, answer = await whole.call(2, "POST", f"/api/jobs/{uid}/cancel")
        assert (status, answer["phase"]) == (200, "cancelled")
        whole.crash(whole.leader())
        await trio.sleep(10)
        left = next(iter(whole.controllers))
        assert await whole.phase(left, uid) == "cancelled"
        assert not whole.on()
        status, answer = await whole.call(left, "POST", f"/api/jobs/{uid}/cancel")
        assert answer["phase"] == "cancelled"


async def test_cancel_of_a_task_on_an_unreachable_machine_deletes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.busy(uid)
        worker.obey = lambda epoch, orders: True  # type: ignore[method-assign]  # answers, but does nothing
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        await trio.sleep(29)
        assert not whole.on()


async def test_a_crashed_leader_is_followed_and_nothing_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=16, cores=2.0)
        await whole.busy(uid)
        first = whole.leader()
        whole.crash(first)
        await trio.sleep(8)
        assert whole.leader() != first
        left = next(iter(whole.controllers))
        await whole.until(left, uid, "done", 60)
        assert len(whole.starts(uid)) == 16


async def test_all_controllers_crash_and_the_job_still_finishes(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=12)
        await whole.busy(uid)
        for number in range(3):
            whole.crash(number)
        await trio.sleep(3)
        for number in range(3):
            whole.start(number)
        await trio.sleep(3)
        await whole.until(1, uid, "done", 80)
        assert len(whole.starts(uid)) == 12


async def test_a_silent_machine_keeps_its_claims_until_surely_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut from everybody while the cloud is down too: only the lease can tell, and a takeover resets it."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.busy(uid)
        whole.cloud.down = True
        whole.net.cut.add(worker.address)
        await trio.sleep(6)
        whole.crash(whole.leader())
        await trio.sleep(20)
        assert len(whole.starts(uid)) == 1
        whole.cloud.down = False
        await trio.sleep(40)
        print({w.about["host"]: (w.tenure, w.tick, w.epoch, w.dead) for w in whole.cloud.workers.values()})
        assert len(whole.starts(uid)) == 2


async def test_a_late_copy_of_a_launch_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        warm = await whole.submit(uid="req-000001", rungs=1, loaners=False)
        worker = await whole.busy(warm)
        worker.hold = True
        uid = await whole.submit(uid="req-000002", rungs=1, loaners=False)
        await whole.until(0, uid, "done", 40)
        assert worker.held, "the launch went out by /orders"
        await trio.sleep(2)
        for body in worker.held:
            worker.late(body)
        assert len(whole.starts(uid)) == 1


async def test_orders_of_a_deposed_leader_are_not_obeyed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.busy(uid)
        old = whole.controllers[whole.leader()].leadership.term
        assert old is not None
        whole.crash(whole.leader())
        await trio.sleep(8)
        for worker in whole.cloud.workers.values():
            assert not worker.late({"epoch": old.epoch, "tenure": worker.tenure, "orders": []})


async def test_an_outage_of_the_state_service_kills_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.busy(uid)
        epoch = whole.controllers[whole.leader()].leadership.term.epoch  # type: ignore[union-attr]
        whole.state.down = True
        await trio.sleep(25)
        assert sum(whole.on().values()) == 2
        status, _ = await whole.call(0, "POST", "/api/jobs", job("req-000009"))
        assert status == 503
        whole.state.down = False
        await trio.sleep(5)
        assert len(whole.starts(uid)) == 2
        assert whole.controllers[whole.leader()].leadership.term.epoch == epoch  # type: ignore[union-attr]


async def test_a_leader_alone_without_the_state_service_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.busy(uid)
        first = whole.leader()
        alone = whole.controllers[first]

        async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
            await trio.sleep(0.01)
            return 503, b"{}"

        alone.client._client.call = unavailable  # type: ignore[method-assign]
        await trio.sleep(15)
        assert whole.leader() != first
        assert alone.leadership.term is None
        assert len(whole.starts(uid)) == 2
        assert sum(whole.on().values()) == 2


async def test_an_unanswered_write_is_repeated_and_does_no_harm(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.state.lose_answers = 1
        spec = job(rungs=3)
        whole.jobs[spec["uid"]] = spec
        status, _ = await whole.call(0, "POST", "/api/jobs", spec)
        assert status in (200, 201)
        uid = spec["uid"]
        whole.state.lose_answers = 2
        await whole.until(0, uid, "done", 60)
        assert len(whole.starts(uid)) == 3


async def test_a_worker_cut_from_the_leader_is_relayed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.busy(uid)
        leader = whole.leader()

        real_call = Client.call

        async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
            if target == "/v1/report" and self.host == f"10.0.0.{leader + 1}":
                raise OSError("cut")
            if target == "/orders":
                await trio.sleep(timeout)
                raise OSError("cut")
            return await real_call(self, method, target, body, timeout)

        monkeypatch.setattr(Client, "call", call)
        await trio.sleep(40)
        assert worker.tenure == 1
        assert len(whole.starts(uid)) == 1


async def test_a_machine_that_fails_everything_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        first = await whole.submit(uid="req-000001", rungs=1)
        bad = await whole.busy(first)
        bad.fail = {f"req-{n:06d}" for n in range(10)}
        for number in range(2, 6):
            await whole.submit(uid=f"req-{number:06d}", rungs=2)
        for number in range(1, 6):
            await whole.until(0, f"req-{number:06d}", "done", 120)
        assert bad.dead


async def test_a_job_that_fails_everywhere_costs_no_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        good = await whole.submit(uid="req-000001", shape="daemon", rungs=3, cores=4.0)
        await whole.busy(good)
        bad = await whole.submit(uid="req-000002", rungs=1)
        for worker in whole.cloud.workers.values():
            worker.fail = {bad}
        whole.cloud.boot = lambda host, hire: _failing(whole, host, hire, bad)
        await trio.sleep(120)
        assert 2 <= len(whole.starts(bad)) < 25, "retried, with growing pauses"
        assert len(whole.starts(good)) == 3
        assert await whole.phase(0, bad) in ("queued", "running")


def _failing(whole: Cluster, host: str, hire: dict[str, Any], uid: str) -> Worker:
    worker = whole._boot(host, hire)
    worker.fail = {uid}
    return worker


async def test_an_error_in_the_tables_costs_a_term_and_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2)
        await whole.busy(uid)
        first = whole.controllers[whole.leader()].leadership.term
        assert first is not None
        with monkeypatch.context() as broken:
            broken.setattr("ladderfield.leader.desk.Desk.schedule", lambda self, now: 1 // 0)
            await whole.submit(uid="req-000002")
            await trio.sleep(1)
        assert first.over.is_set() and len(whole.controllers) == 3
        await trio.sleep(5)
        assert whole.leader() in whole.controllers
        assert len(whole.starts(uid)) == 2 and await whole.phase(0, uid) == "running"


async def test_unexpected_machines_are_used_or_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        hire = {"hire": "late", "flavour": "m4", "yard": "za", "loaners": False, "howMany": 2}
        client = Client("10.2.0.2", 84)
        await client.call("POST", "/machines", hire, 5.0)
        await trio.sleep(40)
        assert whole.cloud.hosts == {}


async def test_a_cloud_outage_does_not_stop_intake(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.cloud.down = True
        whole.crash(0)
        whole.start(0)
        await trio.sleep(3)
        uid = await whole.submit(0)
        assert await whole.phase(1, uid) == "queued"
        whole.cloud.down = False
        await whole.until(1, uid, "done", 60)


async def test_a_machine_whose_reports_come_but_which_hears_nothing_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1, cores=4.0)
        worker = await whole.busy(uid)
        other = await whole.submit(uid="req-000002", rungs=20)
        deaf = await whole.busy(other)
        worker.deaf = deaf.deaf = True
        await whole.until(0, other, "done", 90)
        await trio.sleep(20)
        assert whole.on()[f"{uid}/0"] == 1 and worker.dead and deaf.dead, "both are replaced"


async def test_a_cancellation_does_not_wait_for_a_machine_that_hears_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.busy(uid)
        worker.deaf = True
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        await trio.sleep(29)
        assert not whole.on()


async def test_a_machine_that_hears_again_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1, cores=4.0)
        worker = await whole.busy(uid)
        worker.deaf = True
        await trio.sleep(5)
        worker.deaf = False
        await trio.sleep(30)
        assert not worker.dead and len(whole.starts(uid)) == 1, "no replica stops for a moment's deafness"


@pytest.mark.parametrize("takeover", [False, True])
async def test_late_copies_of_reports_bring_nothing_back(monkeypatch: pytest.MonkeyPatch, takeover: bool) -> None:
    """Copies of all that two machines said come for a while, one machine dead, one well, at every controller."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2, cores=4.0)
        dead = await whole.busy(uid)
        await trio.sleep(10)
        copies = [body for worker in whole.cloud.workers.values() for body in worker.sent]
        dead.dead = True
        dead.rungs.clear()
        if takeover:
            whole.crash(whole.leader())

        async def send(node: int, body: dict[str, Any]) -> None:
            with trio.move_on_after(4):
                await whole.call(node, "POST", "/v1/report", body)

        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < begin + 25:
                for body in copies:
                    for node in list(whole.controllers):
                        nursery.start_soon(send, node, body)
                    await trio.sleep(0.2)
        epochs = {one.leadership.known_epoch() for one in whole.controllers.values()}
        assert epochs == {2 if takeover else 1}, "no leader was deposed"
        await trio.sleep(10)
        assert sum(whole.on().values()) == 2 and len(whole.starts(uid)) == 3, "only the lost replica started again"


async def test_a_leader_with_nobody_but_its_workers_makes_way(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3)
        await whole.busy(uid)
        await trio.sleep(3)
        first = whole.leader()
        await isolate(whole, first)
        status, _ = 200, None
        for _ in range(12):
            await trio.sleep(1)
            status, _ = await whole.call(first, "GET", "/ready")
        assert status == 503, "users are sent elsewhere"
        assert whole.leader() != first
        other = whole.leader()
        later = await whole.submit(other, uid="req-000002", rungs=4)
        await whole.until(other, later, "done", 40)
        assert len(whole.starts(uid)) == 3, "no replica was disturbed"


async def test_a_follower_with_nobody_but_its_workers_loses_none_of_them(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3)
        await whole.busy(uid)
        first = whole.leader()
        await isolate(whole, next(n for n in whole.controllers if n != first))
        whole.crash(first)
        await trio.sleep(0.2)
        whole.start(first)
        await trio.sleep(40)
        assert len(whole.starts(uid)) == 3 and sum(whole.on().values()) == 3


async def test_back_within_a_moment_amid_an_election_and_unanswered_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=12)
        steady = await whole.submit(uid="req-000002", shape="daemon", rungs=2)
        await whole.busy(uid)
        for pause in (0.05, 0.3, 1.1, 2.05):
            whole.state.lose_answers = 2
            for number in list(whole.controllers):
                whole.crash(number)
                await trio.sleep(0.05)
                whole.start(number)
            await trio.sleep(pause)
        await trio.sleep(5)
        await whole.until(1, uid, "done", 90)
        assert [await whole.phase(node, steady) for node in range(3)] == ["running"] * 3
        assert len({name for _, name, _ in whole.starts(uid)}) == 12


@pytest.mark.parametrize("trouble", ["hanging watch", "hanging calls", "an actor fails"])
async def test_after_a_trouble_every_controller_tells_of_every_job(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """Rule ``forgotten``: every question about an accepted job is answered again soon, whoever is asked."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        await whole.busy(uid)
        one = whole.controllers[1]
        calls = {"hanging watch": one.client._watcher, "hanging calls": one.client._client}
        if trouble in calls:
            client = calls[trouble]
            real, until = client.call, trio.current_time() + 30

            async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
                if trio.current_time() < until:
                    await trio.sleep(timeout)
                    raise NoAnswer("half open")
                return await real(method, target, body, timeout)

            client.call = call  # type: ignore[method-assign]
            await trio.sleep(30)
        else:

            async def wrong(*_: Any) -> None:
                raise RuntimeError("a mistake")

            monkeypatch.setattr(one.view, "_reached", wrong)
            await trio.sleep(5)
            monkeypatch.undo()
            monkeypatch.setattr("ladderfield.http.connect", whole.net.connect)
            monkeypatch.setattr("ladderfield.peers.connect", whole.net.connect)
        later = await whole.submit(0, uid="req-000002", rungs=1)
        await whole.until(1, uid, "running", 15)
        await whole.until(1, later, "done", 60)


async def test_a_watch_that_hangs_does_not_cost_a_poll(monkeypatch: pytest.MonkeyPatch) -> None:
    """A half-open connection brings nothing and no error: the poll that needs the view has it opened again."""
    async with cluster(monkeypatch) as whole:
        one = whole.controllers[1]
        real, hung = one.client._watcher.call, [0]

        async def call(method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
            hung[0] += 1
            if hung[0] == 1:
                await trio.sleep(timeout)
                raise NoAnswer("half open")
            return await real(method, target, body, timeout)

        one.client._watcher.call = call  # type: ignore[method-assign]
        await whole.submit(0, uid="req-000001", shape="daemon", rungs=1)  # ends the watch that is open now
        uid = await whole.submit(0, uid="req-000002", shape="daemon", rungs=1)
        assert await whole.phase(1, uid) in ("queued", "running")


async def test_an_epoch_that_nobody_gave_harms_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.busy(uid)
        worker.epoch = 4000
        await trio.sleep(25)
        assert {one.leadership.known_epoch() for one in whole.controllers.values()} == {1}, "no leader was deposed"
        assert worker.dead and sum(whole.on().values()) == 3


async def test_a_leader_that_only_the_state_service_lost_makes_way_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Grown apart: it went on answering its workers, and the cloud, which could tell where they are, was down."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.busy(uid)
        await trio.sleep(3)
        first = whole.leader()
        whole.cloud.down = True

        async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
            await trio.sleep(0.01)
            return 503, b"{}"

        alone = whole.controllers[first]
        alone.client._client.call = alone.client._watcher.call = unavailable  # type: ignore[method-assign]
        await trio.sleep(8)
        assert alone.leadership.term is None, "it was told of its successor"
        _, answer = await whole.call(first, "POST", "/v1/report", whole.cloud.workers["i-000000"].body())
        assert answer.get("foreman") == f"n{whole.leader()}" or answer.get("epoch") == 2, "and names it, or relays"
        await trio.sleep(30)
        whole.cloud.down = False
        await trio.sleep(10)
        assert len(whole.starts(uid)) == 4


async def test_a_strange_address_harms_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.busy(uid)
        worker.about["endpoint"] = "nowhere"
        first = whole.leader()
        other = await whole.submit(uid="req-000002", rungs=8)
        await whole.until(0, other, "done", 60)
        assert whole.leader() == first and whole.controllers[first].leadership.known_epoch() == 1


async def test_a_leader_that_no_worker_can_reach_gives_no_machine_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Others carry the reports; that its own calls fail says nothing about the machines."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.busy(uid)
        await trio.sleep(3)
        first = whole.leader()
        host = f"10.0.0.{first + 1}"
        whole.net.cut_ports.add((host, 80))
        whole.net.cut_ports.update((worker.address, 90) for worker in whole.cloud.workers.values())
        await trio.sleep(60)
        assert whole.leader() == first
        assert len(whole.starts(uid)) == 4 and sum(whole.on().values()) == 4


async def test_many_machines_that_are_cut_off_amid_an_election_go_on_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=10, cores=4.0, owner="blue")
        await whole.busy(uid)
        await trio.sleep(20)
        assert sum(whole.on().values()) == 10
        away = [worker for worker in whole.cloud.workers.values() if worker.on()][::2]
        whole.net.cut.update(worker.address for worker in away)
        whole.crash(whole.leader())
        await trio.sleep(7)
        whole.net.cut.difference_update(worker.address for worker in away)
        await trio.sleep(30)
        assert len(whole.starts(uid)) == 10 and sum(whole.on().values()) == 10
        assert all(worker.tenure == 1 and not worker.dead for worker in away), "within their lease"
