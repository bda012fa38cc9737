"""Late messages: reports, orders and transactions that take effect after newer decisions."""

from __future__ import annotations

import math
from typing import Any

import pytest
import trio

from ladderfield.testing import StateService, Worker, accepted, job
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.consistency import ConsistencyChecker
from ladderfield.testing.leader import MACHINE_RECORD, TOKEN_NOW, SchedulerHarness, reported_task
from ladderfield.tokens import TOKENS_PER_EPOCH

REPORT_S = 2.0
WRITERS = {
    "submissions": "lf/j/",
    "ends and cancellations": "lf/f/",
    "claims": "lf/p/",
    "elections": "lf/epoch",
    "rollout": "lf/v/",
}


async def _request_until(checker: ConsistencyChecker, verb: str, uid: str, status: tuple[int, ...]) -> None:
    """Repeat a user's request at one controller after the other until it gets one of the statuses."""
    for number in range(60):
        observation = await checker.ask(number % 3, verb, uid)
        if observation is not None and observation.status in status:
            return
        await trio.sleep(1)
    raise AssertionError(f"{verb} {uid}: {checker.observations.get(uid)}")


class Unanswered:
    """Leaves transactions of one writer unanswered; they are applied after newer ones (``late``) or at once."""

    def __init__(self, state: StateService, writer: str, late: bool) -> None:
        self.state, self.writer = state, writer
        self.total = self.remaining = 1 if writer == "elections" else 3
        if late:
            state.withholds = self._is_lost
        else:
            state.answer_delay_s = lambda keys: math.inf if self._is_lost(keys) else 0.0

    def _is_lost(self, keys: list[str]) -> bool:
        found = self.remaining > 0 and any(key.startswith(WRITERS[self.writer]) for key in keys)
        self.remaining -= found
        return found

    def carry_out(self) -> None:
        """Apply the delayed transactions; they must have no effect."""
        before = dict(self.state.keys)
        assert not set(self.state.apply_withheld()) - {409}, (
            "a transaction applied after newer ones must have no effect"
        )
        assert self.state.keys == before


async def _elect_anew(whole: Cluster, unanswered: Unanswered) -> None:
    """Crash the leader and apply the delayed transactions once another is elected."""
    first = whole.leader()
    whole.crash(first)
    while not any(controller.reports.inbox is not None for controller in whole.controllers.values()):
        await trio.sleep(0.05)
    unanswered.carry_out()  # while the lease of a repeated election may still be valid
    whole.start(first)
    await trio.sleep(6)


@pytest.mark.parametrize("late", [True, False], ids=["late", "answer lost"])
@pytest.mark.parametrize("writer", list(WRITERS))
async def test_unanswered_transactions_do_no_harm_when_applied_late_or_at_once(
    monkeypatch: pytest.MonkeyPatch, writer: str, late: bool
) -> None:
    """Each writer's unanswered transactions are applied after newer ones, or at once so that others read them."""
    async with cluster(monkeypatch) as whole:
        checker = ConsistencyChecker(whole)
        unanswered = Unanswered(whole.state, writer, late)
        if writer == "rollout":
            for number in range(3):
                whole.state._apply({"guards": [], "apply": [{"put": f"lf/v/n{number}", "value": {"level": 0}}]})
        steady, finite, cancelled = "req-000001", "req-000002", "req-000003"
        whole.jobs |= {
            steady: job(steady, shape="daemon"),
            finite: job(finite, rungs=4, cores=1.0),
            cancelled: job(cancelled, shape="daemon", cores=1.0),
        }
        for uid in whole.jobs:
            await _request_until(checker, "POST", uid, (200, 201))
        await whole.worker_running(cancelled)
        await checker.ask_concurrently(cancelled, 0.1)
        await _request_until(checker, "cancel", cancelled, (200,))
        await checker.ask_concurrently(cancelled, 0.1)
        await whole.wait_for_phase(0, finite, "done", 60)
        await checker.ask_concurrently(finite, 0.1)
        await trio.sleep(2 * REPORT_S)
        unanswered.carry_out()
        await _elect_anew(whole, unanswered)
        assert unanswered.remaining < unanswered.total, "a transaction was left unanswered"
        epoch = whole.controllers[whole.leader()].leadership.known_epoch()
        assert epoch <= TOKENS_PER_EPOCH * (2 + (writer == "elections" and not late)), "no other term may end"
        for uid, phase in ((steady, "running"), (finite, "done"), (cancelled, "cancelled")):
            await checker.ask_concurrently(uid, 0.05, ("GET", "POST"))
            assert [await whole.phase(node, uid) for node in range(3)] == [phase] * 3
        checker.check()
        assert len(whole.starts(steady)) == 2 and len(whole.starts(finite)) == 4 and not checker.active_tasks(cancelled)


async def _outdated(whole: Cluster, uid: str, origin: str) -> tuple[Worker, list[dict[str, Any]]]:
    """A machine and some of its reports that are out of date."""
    worker = await whole.worker_running(uid)
    if origin == "an earlier attempt":
        worker.failing_jobs, worker.phase_ends[f"{uid}/0"] = {uid}, 0.0
        await trio.sleep(2 * REPORT_S)
    elif origin == "an earlier session":
        await trio.sleep(REPORT_S)
        whole.cloud.down = True
        whole.net.cut.add(worker.address)
        await trio.sleep(14)
        whole.net.cut.discard(worker.address)
        whole.cloud.down = False
        await trio.sleep(2 * REPORT_S)
        assert worker.session == 2
    elif origin == "before the launch":
        return worker, [body for body in worker.sent_reports if uid not in str(body["rungs"])]
    assert len(whole.starts(uid)) == 2
    return worker, [body for body in worker.sent_reports if body["tenure"] == 1 and uid in str(body["rungs"])]


@pytest.mark.parametrize("origin", ["an earlier attempt", "an earlier session", "before the launch"])
@pytest.mark.parametrize("acted", [False, True], ids=["as the leader begins", "after it has acted"])
async def test_old_reports_during_a_takeover_neither_stop_nor_restart_tasks(
    monkeypatch: pytest.MonkeyPatch, origin: str, acted: bool
) -> None:
    """Copies of old reports reach all controllers while the machine itself is cut off, or after the leader has acted.

    The tasks on the machine must go on running and must not start elsewhere.
    """
    async with cluster(monkeypatch) as whole:
        warm = await whole.submit(uid="req-000001", shape="daemon", rungs=2, cores=3.0)  # two machines, room on both
        await whole.worker_running(warm)
        uid = await whole.submit(uid="req-000002", shape="daemon", rungs=1, cores=1.0)
        worker, copies = await _outdated(whole, uid, origin)
        assert copies
        await trio.sleep(6 * REPORT_S)
        assert sum(whole.active_tasks().values()) == 3
        starts = len(whole.starts(uid)), len(whole.starts(warm))
        whole.crash(whole.leader())
        if acted:
            await trio.sleep(4 * REPORT_S)
        else:
            whole.net.cut.add(worker.address)

        async def send(node: int, body: dict[str, Any]) -> None:
            with trio.move_on_after(4):
                await whole.call(node, "POST", "/v1/report", body)

        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < begin + 4 * REPORT_S:
                for node in list(whole.controllers):
                    nursery.start_soon(send, node, copies[-1])
                    nursery.start_soon(send, node, copies[0])
                await trio.sleep(0.1)
        whole.net.cut.discard(worker.address)
        await trio.sleep(30)
        assert whole.leader() in whole.controllers
        assert (len(whole.starts(uid)), len(whole.starts(warm))) == starts
        assert sum(whole.active_tasks().values()) == 3


@pytest.mark.parametrize("cause", ["done", "error", "stopped"])
def test_old_report_of_an_earlier_attempt_does_not_end_a_later_one(cause: str) -> None:
    """The old report is the first that a new leader receives; the recorded claim is of a later attempt."""
    earlier, later = 5 << 32, (6 << 32) + 3
    page = {"req-000001": {"a": {"0": [later, "m"]}}, "hosts": {"m": MACHINE_RECORD}}
    harness = SchedulerHarness({"lf/j/req-000001": (accepted(job(rungs=1)), 4), "lf/p/0": (page, 5)})
    orders = harness.report(tasks=(reported_task(0, earlier, "exited", cause),), epoch=TOKEN_NOW - 1)
    assert [claim.attempt for claim in harness.machine().claims.values()] == [later]
    assert not harness.scheduler.complete_jobs and all(order["verb"] != "launch" for order in orders)
    harness.report(tasks=(reported_task(0, later),))
    assert [claim.phase for claim in harness.machine().claims.values()] == ["running"]


@pytest.mark.parametrize("cancelled", [False, True], ids=["goes on", "cancelled"])
@pytest.mark.parametrize("when", ["before the new epoch", "after it", "executed, answer held"])
async def test_delayed_orders_of_an_earlier_leader_start_no_second_attempt(
    monkeypatch: pytest.MonkeyPatch, when: str, cancelled: bool
) -> None:
    """A launch is delayed on a machine that hangs while the leader changes; the machine then continues with it."""
    async with cluster(monkeypatch) as whole:
        checker = ConsistencyChecker(whole)
        warm = await whole.submit(uid="req-000001", shape="daemon", rungs=1, loaners=False)
        worker = await whole.worker_running(warm)
        uid = "req-000002"
        whole.jobs[uid] = job(uid, shape="daemon", rungs=1, loaners=False)
        worker.withhold_orders, worker.drop_answers = when != "executed, answer held", True
        await checker.ask(0, "POST", uid)
        await trio.sleep(0.3)
        assert (uid in str(worker.withheld_orders)) == worker.withhold_orders or whole.starts(uid)
        whole.net.cut.add(worker.address)  # the machine hangs
        whole.crash(whole.leader())
        survivor = next(iter(whole.controllers))
        if cancelled:
            await trio.sleep(1)
            assert (await whole.call(survivor, "POST", f"/api/jobs/{uid}/cancel"))[1]["phase"] == "cancelled"
        await trio.sleep(3 * REPORT_S)
        held = list(worker.withheld_orders)
        if when == "before the new epoch":
            assert all(worker.handle_orders(body) for body in held)
        worker.withhold_orders = worker.drop_answers = False
        whole.net.cut.discard(worker.address)
        await trio.sleep(2 * REPORT_S)
        if when == "after it":
            assert not any(worker.handle_orders(body) for body in held)
        await trio.sleep(30)
        if cancelled:
            assert not checker.active_tasks(uid), "ran_cancelled: a cancelled job must not run"
            assert await whole.phase(survivor, uid) == "cancelled"
        else:
            assert len(checker.active_tasks(uid)) == 1 and len(whole.starts(uid)) == 1
        assert whole.active_tasks()[f"{warm}/0"] == 1 and len(whole.starts(warm)) == 1, (
            "the machine must not be declared lost"
        )
