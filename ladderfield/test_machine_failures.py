"""Machines that are silent, do not hear, fail or send strange or late messages, on a whole cluster."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.http import Client
from ladderfield.testing import Worker
from ladderfield.testing.cluster import Cluster, cluster


async def test_cancel_of_a_task_on_an_unreachable_machine_deletes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.busy(uid)
        worker.obey = lambda epoch, orders: True  # type: ignore[method-assign]  # answers, but does nothing
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        await trio.sleep(29)
        assert not whole.on()


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


async def test_an_epoch_that_nobody_gave_harms_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.busy(uid)
        worker.epoch = 4000
        await trio.sleep(25)
        assert {one.leadership.known_epoch() for one in whole.controllers.values()} == {1}, "no leader was deposed"
        assert worker.dead and sum(whole.on().values()) == 3


async def test_a_strange_address_harms_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.busy(uid)
        worker.about["endpoint"] = "nowhere"
        first = whole.leader()
        other = await whole.submit(uid="req-000002", rungs=8)
        await whole.until(0, other, "done", 60)
        assert whole.leader() == first and whole.controllers[first].leadership.known_epoch() == 1


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
