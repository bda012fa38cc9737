"""Users ask, submit again and cancel at all controllers, within milliseconds of what was just decided."""

from __future__ import annotations

import math
from typing import Any

import pytest
import trio

from ladderfield.testing import accepted, job
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.consistency import ConsistencyChecker

CANCEL_S, REPORT_S = 30.0, 2.0


def _trouble(whole: Cluster, trouble: str) -> None:
    """What goes wrong from now on, in place of what went wrong before."""
    whole.state.watch_lag = whole.state.slow_s = 0.0
    whole.state.answer_s = lambda keys: 0.0
    if trouble == "watches lag":
        whole.state.watch_lag = 0.4
    elif trouble == "the state service is slow":
        whole.state.slow_s = 0.3
    elif trouble == "answers are lost":
        # Every second transaction on jobs, by a controller or the leader, is carried out and never answered.
        counts = iter(range(10**6))
        whole.state.answer_s = lambda keys: math.inf if next(counts) % 2 and keys[0][:5] in ("lf/j/", "lf/f/") else 0.0
    elif trouble == "answers are late":
        whole.state.answer_s = lambda keys: 0.9 if keys[0][:5] in ("lf/j/", "lf/f/") else 0.0


@pytest.mark.parametrize(
    "trouble",
    ["none", "watches lag", "the state service is slow", "answers are lost", "answers are late", "a restart"],
)
async def test_nobody_says_an_older_thing_right_after_a_job_was_accepted_ended_or_cancelled(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    async with cluster(monkeypatch) as whole:
        checker = ConsistencyChecker(whole)
        ended, called_off, at_once = "req-000001", "req-000002", "req-000003"
        await whole.submit(uid=ended, rungs=1)
        await whole.submit(uid=called_off, rungs=3, shape="daemon")
        await whole.busy(called_off)
        whole.jobs[at_once] = job(at_once, rungs=2)
        _trouble(whole, trouble)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checker.ask_concurrently, ended, 8.0, ("GET", "POST"), 0.3)
            nursery.start_soon(checker.ask_concurrently, called_off, 3.0)
            nursery.start_soon(checker.ask_concurrently, at_once, 0.5, ("POST", "GET"))
            await trio.sleep(0.05)
            nursery.start_soon(checker.ask_concurrently, at_once, 3.0)
            if trouble == "a restart":
                await trio.sleep(0.5)
                whole.crash(whole.leader())
                await trio.sleep(0.2)
                for node in {0, 1, 2} - set(whole.controllers):
                    whole.start(node)
        _trouble(whole, "none")
        await whole.until(0, ended, "done", 60)
        await checker.ask_concurrently(ended, 0.5)
        for uid in (called_off, at_once):
            await checker.ask_concurrently(uid, 0.2)
        checker.check()
        await trio.sleep(CANCEL_S)
        for uid in (called_off, at_once):
            told = checker.first_answer(uid, "cancelled")
            last = max((at for at, _, _ in whole.starts(uid)), default=0.0)
            assert told is not None and last <= told.at + REPORT_S, "a start after a confirmed cancellation"
            assert not checker.on(uid), "ran_cancelled"


@pytest.mark.parametrize("trouble", ["none", "watches lag", "answers are lost", "the state service is slow"])
async def test_a_cancellation_that_meets_the_end_of_a_jobs_last_task(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """Each job is either done or cancelled, for everybody and for good, however close both come."""
    async with cluster(monkeypatch) as whole:
        checker = ConsistencyChecker(whole)
        uids = [await whole.submit(uid=f"req-{n:06d}", rungs=1) for n in range(8)]
        for uid in uids:
            await whole.busy(uid)
        _trouble(whole, trouble)

        async def cancel_at_end(uid: str, after_s: float) -> None:
            while checker.on(uid):
                await trio.sleep(0.01)
            await trio.sleep(after_s)
            await checker.ask_concurrently(uid, 0.3)

        async with trio.open_nursery() as nursery:
            for number, uid in enumerate(uids):
                nursery.start_soon(cancel_at_end, uid, number * REPORT_S / 8)  # until the leader writes that it is over
        _trouble(whole, "none")
        await trio.sleep(10)
        for uid in uids:
            await checker.ask_concurrently(uid, 0.02)
            assert len(whole.starts(uid)) == 1, "nothing starts again"
        checker.check()
        phases = [await whole.phase(0, uid) for uid in uids]
        assert set(phases) == {"done", "cancelled"}, f"both ways are met: {phases}"
        for uid, phase in zip(uids, phases, strict=True):
            again = await checker.ask(1, "cancel", uid)
            assert again is not None and again.phase == phase, "a cancellation that comes too late is told so"


async def test_a_cancellation_of_which_the_leader_has_not_heard_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last task ends just after the cancellation was confirmed; the leader would call the job done."""
    async with cluster(monkeypatch) as whole:
        checker, uid = ConsistencyChecker(whole), await whole.submit(rungs=1)
        worker = await whole.busy(uid)
        await trio.sleep(2 * REPORT_S)
        leader = whole.leader()
        await _lag(whole, leader, 2 * REPORT_S)
        await checker.ask((leader + 1) % 3, "cancel", uid)
        worker.ends[f"{uid}/0"] = 0.0
        await checker.ask_concurrently(uid, 4 * REPORT_S, every_s=0.3)
        told = checker.first_answer(uid, "cancelled")
        assert told is not None and len(whole.starts(uid)) == 1
        checker.check()


async def test_a_submission_that_joins_an_unanswered_write_is_not_told_by_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write is carried out at once. Before its answer is here another controller has confirmed a cancellation."""
    async with cluster(monkeypatch) as whole:
        checker, uid = ConsistencyChecker(whole), "req-000001"
        whole.jobs[uid] = job(uid)
        whole.state.answer_s = lambda keys: 1.0 if keys[0].startswith("lf/j/") else 0.0
        await _lag(whole, 0, 1.1)
        async with trio.open_nursery() as users:
            users.start_soon(checker.ask, 0, "POST", uid)
            await trio.sleep(0.1)
            cancelled = await checker.ask(1, "cancel", uid)
            assert cancelled is not None and cancelled.phase == "cancelled"
            users.start_soon(checker.ask, 0, "POST", uid)
        checker.check()
        assert {observation.phase for observation in checker.seen[uid][1:]} == {"queued", "cancelled"}


async def _put(whole: Cluster, values: dict[str, Any]) -> None:
    """Written to the state service by somebody else; None deletes."""
    steps = [{"delete": key} if value is None else {"put": key, "value": value} for key, value in values.items()]
    assert (await whole.state._multi({"guards": [], "apply": steps})).status == 200


async def _lag(whole: Cluster, node: int, for_s: float) -> None:
    """Nothing new comes to a controller's view for a while."""
    one = whole.controllers[node]
    watch, until = one.client.watch, trio.current_time() + for_s

    async def lagging(after: int, wait_s: float) -> Any:
        answer = await watch(after, wait_s)
        await trio.sleep_until(until)
        return answer

    one.client.watch = lagging  # type: ignore[method-assign]
    await _restart_watch(whole, node)


async def _restart_watch(whole: Cluster, node: int) -> None:
    view = whole.controllers[node].view
    if view._restart is not None:
        view._restart.cancel()
    await trio.sleep(0.01)


async def test_a_job_called_cancelled_with_one_that_it_needs_is_not_accepted_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its record is named after another job and it has no final record of its own yet.

    Neither keeps a controller that knows nothing of all this from writing it once more.
    """
    async with cluster(monkeypatch) as whole:
        checker, first, later, beside = ConsistencyChecker(whole), "req-000001", "req-000002", "req-000003"
        await whole.submit(uid=first, shape="array", rungs=1)
        whole.jobs[later] = job(later, waitsOn=[first])
        whole.jobs[beside] = job(beside)
        await _lag(whole, 0, 1.5)
        await _put(whole, {f"lf/j/{beside}": accepted(whole.jobs[beside], whole.jobs[later])})
        whole.state.keeps = lambda keys: f"lf/f/{later}" in keys  # the leader's; nobody waits for it
        await checker.ask(1, "cancel", first)
        told = await checker.ask(1, "GET", later)
        assert told is not None and told.phase == "cancelled"
        await checker.ask(0, "POST", later)
        checker.check()


async def test_an_accepted_job_is_not_refused_for_what_a_door_does_not_know(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accepted by a controller with larger limits, of which ours has not heard yet; submitted again it is known."""
    async with cluster(monkeypatch) as whole:
        checker, uid = ConsistencyChecker(whole), "req-000001"
        whole.jobs[uid] = job(uid, bundle="x" * 20_000)
        await _lag(whole, 0, 1.0)
        await _put(whole, {f"lf/j/{uid}": accepted(whole.jobs[uid])})
        for node, verb in ((1, "GET"), (0, "POST")):
            observation = await checker.ask(node, verb, uid)
            assert observation is not None and observation.status == 200
        checker.check()


async def test_a_job_that_ends_while_the_view_is_read_anew_is_not_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Many keys are read page by page: the first page lacks its end, the last one its record."""
    async with cluster(monkeypatch) as whole:
        checker, uid = ConsistencyChecker(whole), "req-000001"
        whole.jobs[uid] = job(uid, shape="daemon", rungs=1)
        await checker.ask(0, "POST", uid)
        await _put(whole, {f"lf/f/req-1{number}": {"phase": "done"} for number in range(4)})
        one = whole.controllers[1]
        page, read = one.client.page, trio.Event()

        async def overtaken(after: str, timeout: float) -> Any:
            answer = await page(after, timeout)
            if not read.is_set() and any(pair.key.startswith("lf/f/") for pair in answer.pairs):
                read.set()
                await _put(whole, {f"lf/f/{uid}": {"phase": "cancelled"}})
                await _put(whole, {f"lf/j/{uid}": None})
                await checker.ask(2, "GET", uid)
            return answer

        async def behind(after: int, wait_s: float) -> None:
            one.client.watch = watch  # type: ignore[method-assign]
            await trio.sleep(0.1)

        watch = one.client.watch
        one.client.page, one.client.watch = overtaken, behind  # type: ignore[method-assign]
        whole.state.page_most = 3
        await _restart_watch(whole, 1)
        await _put(whole, {"lf/f/req-19": {"phase": "done"}})
        await checker.ask(1, "GET", uid)
        assert read.is_set()
        checker.check()


@pytest.mark.parametrize("trouble", ["none", "watches lag", "the state service is slow", "answers are lost"])
async def test_what_fits_no_machine_or_lacks_a_field_is_never_accepted(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    async with cluster(monkeypatch) as whole:
        checker = ConsistencyChecker(whole)
        large, short = "req-000001", "req-000002"
        whole.jobs[large] = job(large, cores=5.0)
        whole.jobs[short] = job(short)
        del whole.jobs[short]["rank"]
        _trouble(whole, trouble)
        for number in (0, 1, 2):
            whole.crash(number)
            whole.start(number)
        async with trio.open_nursery() as nursery:
            for uid in (large, short):
                nursery.start_soon(checker.ask_concurrently, uid, 4.0)
        _trouble(whole, "none")
        await trio.sleep(5)
        for uid, status in ((large, 422), (short, 400)):
            assert all(observation.status in (status, 404, 503) for observation in checker.seen[uid])
            for node in range(3):
                observation = await checker.ask(node, "POST", uid)
                assert observation is not None and observation.status == status
        assert not [key for key in whole.state.keys if key.startswith(("lf/j/", "lf/f/"))]
