"""Consistent replies to polls, resubmissions and cancellations at all controllers, milliseconds after a decision."""

from __future__ import annotations

import math
from typing import Any

import pytest
import trio

from ladderfield.testing import accepted, job
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.consistency import ConsistencyChecker

CANCEL_S, REPORT_S = 30.0, 2.0


def _inject_fault(harness: Cluster, fault: str) -> None:
    """Replaces the current fault of the state service by this one; "none" removes it."""
    harness.state.watch_lag_s = harness.state.delay_s = 0.0
    harness.state.answer_delay_s = lambda keys: 0.0
    if fault == "watches lag":
        harness.state.watch_lag_s = 0.4
    elif fault == "the state service is slow":
        harness.state.delay_s = 0.3
    elif fault == "answers are lost":
        # Every second transaction on job records, by a controller or the leader, is applied and never answered.
        counts = iter(range(10**6))
        harness.state.answer_delay_s = lambda keys: (
            math.inf if next(counts) % 2 and keys[0][:5] in ("lf/j/", "lf/f/") else 0.0
        )
    elif fault == "answers are late":
        harness.state.answer_delay_s = lambda keys: 0.9 if keys[0][:5] in ("lf/j/", "lf/f/") else 0.0


@pytest.mark.parametrize(
    "fault",
    ["none", "watches lag", "the state service is slow", "answers are lost", "answers are late", "a restart"],
)
async def test_no_controller_returns_an_older_state_after_a_job_was_accepted_ended_or_cancelled(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    async with cluster(monkeypatch) as harness:
        checker = ConsistencyChecker(harness)
        ended_job, cancelled_job, early_cancelled = "req-000001", "req-000002", "req-000003"
        await harness.submit(uid=ended_job, rungs=1)
        await harness.submit(uid=cancelled_job, rungs=3, shape="daemon")
        await harness.worker_running(cancelled_job)
        harness.jobs[early_cancelled] = job(early_cancelled, rungs=2)
        _inject_fault(harness, fault)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checker.ask_concurrently, ended_job, 8.0, ("GET", "POST"), 0.3)
            nursery.start_soon(checker.ask_concurrently, cancelled_job, 3.0)
            nursery.start_soon(checker.ask_concurrently, early_cancelled, 0.5, ("POST", "GET"))
            await trio.sleep(0.05)
            nursery.start_soon(checker.ask_concurrently, early_cancelled, 3.0)
            if fault == "a restart":
                await trio.sleep(0.5)
                harness.crash(harness.leader())
                await trio.sleep(0.2)
                for node in {0, 1, 2} - set(harness.controllers):
                    harness.start(node)
        _inject_fault(harness, "none")
        await harness.wait_for_phase(0, ended_job, "done", 60)
        await checker.ask_concurrently(ended_job, 0.5)
        for uid in (cancelled_job, early_cancelled):
            await checker.ask_concurrently(uid, 0.2)
        checker.check()
        await trio.sleep(CANCEL_S)
        for uid in (cancelled_job, early_cancelled):
            first_cancelled = checker.first_answer(uid, "cancelled")
            last = max((at for at, _, _ in harness.starts(uid)), default=0.0)
            assert first_cancelled is not None and last <= first_cancelled.answered_at + REPORT_S, (
                "a start after a confirmed cancellation"
            )
            assert not checker.active_tasks(uid), "ran_cancelled"


@pytest.mark.parametrize("fault", ["none", "watches lag", "answers are lost", "the state service is slow"])
async def test_a_cancellation_racing_with_the_end_of_the_last_task_has_one_outcome(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """Each job is either done or cancelled, finally and at all controllers, however close both events are."""
    async with cluster(monkeypatch) as harness:
        checker = ConsistencyChecker(harness)
        uids = [await harness.submit(uid=f"req-{n:06d}", rungs=1) for n in range(8)]
        for uid in uids:
            await harness.worker_running(uid)
        _inject_fault(harness, fault)

        async def cancel_at_end(uid: str, after_s: float) -> None:
            while checker.active_tasks(uid):
                await trio.sleep(0.01)
            await trio.sleep(after_s)
            await checker.ask_concurrently(uid, 0.3)

        async with trio.open_nursery() as nursery:
            for number, uid in enumerate(uids):
                # Spread over the time until the leader writes the end.
                nursery.start_soon(cancel_at_end, uid, number * REPORT_S / 8)
        _inject_fault(harness, "none")
        await trio.sleep(10)
        for uid in uids:
            await checker.ask_concurrently(uid, 0.02)
            assert len(harness.starts(uid)) == 1, "a task was started again"
        checker.check()
        phases = [await harness.phase(0, uid) for uid in uids]
        assert set(phases) == {"done", "cancelled"}, f"the run did not produce both outcomes: {phases}"
        for uid, phase in zip(uids, phases, strict=True):
            again = await checker.ask(1, "cancel", uid)
            assert again is not None and again.phase == phase, "a repeated cancellation did not return the final state"


async def test_a_confirmed_cancellation_stands_although_the_leader_has_not_seen_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The last task ends just after the confirmation, while the leader's watch is delayed and it would report done."""
    async with cluster(monkeypatch) as harness:
        checker, uid = ConsistencyChecker(harness), await harness.submit(rungs=1)
        worker = await harness.worker_running(uid)
        await trio.sleep(2 * REPORT_S)
        leader = harness.leader()
        await _delay_watch(harness, leader, 2 * REPORT_S)
        await checker.ask((leader + 1) % 3, "cancel", uid)
        worker.phase_ends[f"{uid}/0"] = 0.0
        await checker.ask_concurrently(uid, 4 * REPORT_S, interval_s=0.3)
        first_cancelled = checker.first_answer(uid, "cancelled")
        assert first_cancelled is not None and len(harness.starts(uid)) == 1
        checker.check()


async def test_a_submission_that_joins_an_unanswered_write_is_not_answered_from_its_outcome_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write is applied at once, and another controller confirms a cancellation before its answer arrives."""
    async with cluster(monkeypatch) as harness:
        checker, uid = ConsistencyChecker(harness), "req-000001"
        harness.jobs[uid] = job(uid)
        harness.state.answer_delay_s = lambda keys: 1.0 if keys[0].startswith("lf/j/") else 0.0
        await _delay_watch(harness, 0, 1.1)
        async with trio.open_nursery() as users:
            users.start_soon(checker.ask, 0, "POST", uid)
            await trio.sleep(0.1)
            cancelled = await checker.ask(1, "cancel", uid)
            assert cancelled is not None and cancelled.phase == "cancelled"
            users.start_soon(checker.ask, 0, "POST", uid)
        checker.check()
        assert {observation.phase for observation in checker.observations[uid][1:]} == {"queued", "cancelled"}


async def _write_records(harness: Cluster, values: dict[str, Any]) -> None:
    """Writes records to the state service as another client would; None deletes a key."""
    steps = [{"delete": key} if value is None else {"put": key, "value": value} for key, value in values.items()]
    assert (await harness.state._multi({"guards": [], "apply": steps})).status == 200


async def _delay_watch(harness: Cluster, node: int, for_s: float) -> None:
    """Delays the answers to a controller's watches, so that its view gets no changes for a while."""
    controller = harness.controllers[node]
    watch, until = controller.client.watch, trio.current_time() + for_s

    async def delayed(after: int, wait_s: float) -> Any:
        answer = await watch(after, wait_s)
        await trio.sleep_until(until)
        return answer

    controller.client.watch = delayed  # type: ignore[method-assign]
    await _restart_watch(harness, node)


async def _restart_watch(harness: Cluster, node: int) -> None:
    view = harness.controllers[node].view
    if view._restart is not None:
        view._restart.cancel()
    await trio.sleep(0.01)


async def test_a_job_reported_as_cancelled_with_one_that_it_needs_is_not_accepted_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job is in a record named after another job and has no final record of its own yet.

    So no guard stops a controller with an outdated view from writing it again.
    """
    async with cluster(monkeypatch) as harness:
        checker, needed, dependent, other = ConsistencyChecker(harness), "req-000001", "req-000002", "req-000003"
        await harness.submit(uid=needed, shape="array", rungs=1)
        harness.jobs[dependent] = job(dependent, waitsOn=[needed])
        harness.jobs[other] = job(other)
        await _delay_watch(harness, 0, 1.5)
        await _write_records(harness, {f"lf/j/{other}": accepted(harness.jobs[other], harness.jobs[dependent])})
        # Holds back the leader's write of the final record.
        harness.state.withholds = lambda keys: f"lf/f/{dependent}" in keys
        await checker.ask(1, "cancel", needed)
        first_cancelled = await checker.ask(1, "GET", dependent)
        assert first_cancelled is not None and first_cancelled.phase == "cancelled"
        await checker.ask(0, "POST", dependent)
        checker.check()


async def test_an_accepted_job_is_not_refused_by_a_controller_with_an_outdated_view(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller with larger limits accepted the job. Its resubmission elsewhere must not be refused as too large."""
    async with cluster(monkeypatch) as harness:
        checker, uid = ConsistencyChecker(harness), "req-000001"
        harness.jobs[uid] = job(uid, bundle="x" * 20_000)
        await _delay_watch(harness, 0, 1.0)
        await _write_records(harness, {f"lf/j/{uid}": accepted(harness.jobs[uid])})
        for node, verb in ((1, "GET"), (0, "POST")):
            observation = await checker.ask(node, verb, uid)
            assert observation is not None and observation.status == 200
        checker.check()


async def test_a_job_that_ends_while_the_view_is_reloaded_is_not_reported_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keys are listed page by page: the first page lacks the final record, the last one the job record."""
    async with cluster(monkeypatch) as harness:
        checker, uid = ConsistencyChecker(harness), "req-000001"
        harness.jobs[uid] = job(uid, shape="daemon", rungs=1)
        await checker.ask(0, "POST", uid)
        await _write_records(harness, {f"lf/f/req-1{number}": {"phase": "done"} for number in range(4)})
        controller = harness.controllers[1]
        page, page_read = controller.client.page, trio.Event()

        async def page_then_end(after: str, timeout: float) -> Any:
            answer = await page(after, timeout)
            if not page_read.is_set() and any(pair.key.startswith("lf/f/") for pair in answer.pairs):
                page_read.set()
                await _write_records(harness, {f"lf/f/{uid}": {"phase": "cancelled"}})
                await _write_records(harness, {f"lf/j/{uid}": None})
                await checker.ask(2, "GET", uid)
            return answer

        async def delayed_watch(after: int, wait_s: float) -> None:
            controller.client.watch = watch  # type: ignore[method-assign]
            await trio.sleep(0.1)

        watch = controller.client.watch
        controller.client.page, controller.client.watch = page_then_end, delayed_watch  # type: ignore[method-assign]
        harness.state.max_page_keys = 3
        await _restart_watch(harness, 1)
        await _write_records(harness, {"lf/f/req-19": {"phase": "done"}})
        await checker.ask(1, "GET", uid)
        assert page_read.is_set()
        checker.check()


@pytest.mark.parametrize("fault", ["none", "watches lag", "the state service is slow", "answers are lost"])
async def test_a_job_that_fits_no_machine_or_lacks_a_field_is_never_accepted(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    async with cluster(monkeypatch) as harness:
        checker = ConsistencyChecker(harness)
        too_large, incomplete = "req-000001", "req-000002"
        harness.jobs[too_large] = job(too_large, cores=5.0)
        harness.jobs[incomplete] = job(incomplete)
        del harness.jobs[incomplete]["rank"]
        _inject_fault(harness, fault)
        for number in (0, 1, 2):
            harness.crash(number)
            harness.start(number)
        async with trio.open_nursery() as nursery:
            for uid in (too_large, incomplete):
                nursery.start_soon(checker.ask_concurrently, uid, 4.0)
        _inject_fault(harness, "none")
        await trio.sleep(5)
        for uid, status in ((too_large, 422), (incomplete, 400)):
            assert all(observation.status in (status, 404, 503) for observation in checker.observations[uid])
            for node in range(3):
                observation = await checker.ask(node, "POST", uid)
                assert observation is not None and observation.status == status
        assert not [key for key in harness.state.keys if key.startswith(("lf/j/", "lf/f/"))]
