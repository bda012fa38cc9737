"""Machines that are silent, receive no answers, fail tasks, or send invalid or late messages."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.http import Client
from ladderfield.testing import Worker
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.tokens import next_epoch


async def test_a_machine_that_does_not_stop_a_cancelled_task_is_deleted(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.worker_running(uid)
        worker.apply_orders = lambda epoch, orders: True  # type: ignore[method-assign]  # ignores orders
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        await trio.sleep(29)
        assert not whole.active_tasks()


async def test_a_silent_machine_keeps_its_claims_until_it_is_known_to_be_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine is cut off while the cloud is down: only its expired lease shows that it stopped.

    A takeover restarts the wait for that.
    """
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.worker_running(uid)
        whole.cloud.down = True
        whole.net.cut.add(worker.address)
        await trio.sleep(6)
        whole.crash(whole.leader())
        await trio.sleep(20)
        assert len(whole.starts(uid)) == 1
        whole.cloud.down = False
        await trio.sleep(40)
        print({w.report_fields["host"]: (w.session, w.sequence, w.epoch, w.dead) for w in whole.cloud.workers.values()})
        assert len(whole.starts(uid)) == 2


async def test_a_late_copy_of_a_launch_order_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        earlier = await whole.submit(uid="req-000001", rungs=1, loaners=False)
        worker = await whole.worker_running(earlier)
        worker.withhold_orders = True
        uid = await whole.submit(uid="req-000002", rungs=1, loaners=False)
        await whole.wait_for_phase(0, uid, "done", 40)
        assert worker.withheld_orders, "the launch was sent by /orders"
        await trio.sleep(2)
        for body in worker.withheld_orders:
            worker.handle_orders(body)
        assert len(whole.starts(uid)) == 1


async def test_reports_of_a_worker_cut_from_the_leader_are_relayed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.worker_running(uid)
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
        assert worker.session == 1
        assert len(whole.starts(uid)) == 1


async def test_a_machine_that_fails_every_task_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        first = await whole.submit(uid="req-000001", rungs=1)
        faulty = await whole.worker_running(first)
        faulty.failing_jobs = {f"req-{n:06d}" for n in range(10)}
        for number in range(2, 6):
            await whole.submit(uid=f"req-{number:06d}", rungs=2)
        for number in range(1, 6):
            await whole.wait_for_phase(0, f"req-{number:06d}", "done", 120)
        assert faulty.dead


async def test_a_job_that_fails_on_every_machine_makes_none_faulty(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        healthy_service = await whole.submit(uid="req-000001", shape="daemon", rungs=3, cores=4.0)
        await whole.worker_running(healthy_service)
        failing = await whole.submit(uid="req-000002", rungs=1)
        for worker in whole.cloud.workers.values():
            worker.failing_jobs = {failing}
        whole.cloud.boot = lambda host, rental: _failing(whole, host, rental, failing)
        await trio.sleep(120)
        assert 2 <= len(whole.starts(failing)) < 25, "retried, with increasing backoff"
        assert len(whole.starts(healthy_service)) == 3
        assert await whole.phase(0, failing) in ("queued", "running")


def _failing(whole: Cluster, host: str, rental: dict[str, Any], uid: str) -> Worker:
    worker = whole._boot(host, rental)
    worker.failing_jobs = {uid}
    return worker


async def test_a_machine_that_reports_but_receives_no_answers_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1, cores=4.0)
        worker = await whole.worker_running(uid)
        other = await whole.submit(uid="req-000002", rungs=20)
        other_worker = await whole.worker_running(other)
        worker.drop_incoming = other_worker.drop_incoming = True
        await whole.wait_for_phase(0, other, "done", 90)
        await trio.sleep(20)
        assert whole.active_tasks()[f"{uid}/0"] == 1 and worker.dead and other_worker.dead, "both are replaced"


async def test_a_cancellation_is_timely_on_a_machine_that_receives_no_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1)
        worker = await whole.worker_running(uid)
        worker.drop_incoming = True
        await whole.call(0, "POST", f"/api/jobs/{uid}/cancel")
        await trio.sleep(29)
        assert not whole.active_tasks()


async def test_a_machine_that_receives_answers_again_keeps_its_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=1, cores=4.0)
        worker = await whole.worker_running(uid)
        worker.drop_incoming = True
        await trio.sleep(5)
        worker.drop_incoming = False
        await trio.sleep(30)
        assert not worker.dead and len(whole.starts(uid)) == 1, "no replica stops because of a short loss of answers"


@pytest.mark.parametrize("takeover", [False, True])
async def test_late_copies_of_reports_revive_no_task_and_depose_no_leader(
    monkeypatch: pytest.MonkeyPatch, takeover: bool
) -> None:
    """Every controller receives copies of all reports of two machines for a while; one machine is dead, one healthy."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=2, cores=4.0)
        dead = await whole.worker_running(uid)
        await trio.sleep(10)
        copies = [body for worker in whole.cloud.workers.values() for body in worker.sent_reports]
        dead.dead = True
        dead.tasks.clear()
        if takeover:
            whole.crash(whole.leader())

        async def send(node: int, body: dict[str, Any]) -> None:
            with trio.move_on_after(4):
                await whole.call(node, "POST", "/v1/report", body)

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < started_at + 25:
                for body in copies:
                    for node in list(whole.controllers):
                        nursery.start_soon(send, node, body)
                    await trio.sleep(0.2)
        epochs = {controller.leadership.known_epoch() for controller in whole.controllers.values()}
        first = next_epoch(0)
        assert epochs == {next_epoch(first) if takeover else first}, "no leader was deposed"
        await trio.sleep(10)
        assert sum(whole.active_tasks().values()) == 2 and len(whole.starts(uid)) == 3, (
            "only the lost replica restarted"
        )


async def test_a_report_with_an_epoch_never_issued_affects_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.worker_running(uid)
        worker.epoch = 4000
        await trio.sleep(25)
        assert {controller.leadership.known_epoch() for controller in whole.controllers.values()} == {next_epoch(0)}, (
            "no leader was deposed"
        )
        assert worker.dead and sum(whole.active_tasks().values()) == 3


async def test_a_malformed_worker_address_affects_only_its_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=3, cores=4.0)
        worker = await whole.worker_running(uid)
        worker.report_fields["endpoint"] = "nowhere"
        first = whole.leader()
        other = await whole.submit(uid="req-000002", rungs=8)
        await whole.wait_for_phase(0, other, "done", 60)
        assert whole.leader() == first and whole.controllers[first].leadership.known_epoch() == next_epoch(0)


async def test_machines_cut_off_during_an_election_keep_their_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=10, cores=4.0, owner="blue")
        await whole.worker_running(uid)
        await trio.sleep(20)
        assert sum(whole.active_tasks().values()) == 10
        cut_off = [worker for worker in whole.cloud.workers.values() if worker.active_tasks()][::2]
        whole.net.cut.update(worker.address for worker in cut_off)
        whole.crash(whole.leader())
        await trio.sleep(7)
        whole.net.cut.difference_update(worker.address for worker in cut_off)
        await trio.sleep(30)
        assert len(whole.starts(uid)) == 10 and sum(whole.active_tasks().values()) == 10
        assert all(worker.session == 1 and not worker.dead for worker in cut_off), "within their lease"
