"""How long a leader without the state service keeps tasks running.

A cancellation that another controller confirmed, and that the leader can't read, still takes effect within cancel_s of
its confirmation.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.cancellation_sync import ANSWER, QUERY, Answer, MalformedAnswerError, known_until
from ladderfield.connectivity.authority import Decision
from ladderfield.peers import CANCELLATION_NOTICE, CANCELLATION_QUERY
from ladderfield.rollout import CANCELLATION_SYNC, VERSION_PREFIX
from ladderfield.term import Term, grace_s
from ladderfield.testing import SETTINGS, settings
from ladderfield.testing.cluster import Cluster, cluster, refuse_state_requests, silent_peer

CANCEL_S = SETTINGS["cluster"]["workers"]["cancel_s"]
LEASE_S = SETTINGS["cluster"]["workers"]["lease_s"]


def cut_peer_links(whole: Cluster, number: int) -> None:
    """Block all calls between this controller and the others."""
    for other, controller in whole.controllers.items():
        for name, link in controller.links.items():
            if other == number or name == f"n{number}":
                link.ask = silent_peer(link)  # type: ignore[method-assign]


async def replicas(whole: Cluster) -> tuple[str, str]:
    """A service to be cancelled and one to keep, both running, with all controllers up to date."""
    cancelled_uid = await whole.submit(shape="daemon", rungs=3)
    kept_uid = await whole.submit(uid="req-000002", shape="daemon", rungs=2)
    await whole.worker_running(cancelled_uid)
    await whole.worker_running(kept_uid)
    await trio.sleep(8)
    assert sum(whole.active_tasks().values()) == 5
    return cancelled_uid, kept_uid


def running_tasks(whole: Cluster, uid: str) -> list[str]:
    """The job's tasks that are on machines."""
    return [name for name in whole.active_tasks() if name.startswith(f"{uid}/")]


async def cancel(whole: Cluster, node: int, uid: str) -> float:
    """Cancel a job; the time of the confirmation."""
    status, answer = await whole.call(node, "POST", f"/api/jobs/{uid}/cancel")
    assert (status, answer["phase"]) == (200, "cancelled")
    return trio.current_time()


@pytest.mark.parametrize("peers", ["all unreachable", "one down", "all up"])
async def test_a_leader_without_the_state_service_stops_a_job_cancelled_elsewhere_in_time(
    monkeypatch: pytest.MonkeyPatch, peers: str
) -> None:
    """A cancellation is confirmed while the state service rejects only the leader.

    Then the state service is down for all controllers, for longer than cancel_s, while workers report to the leader.
    """
    async with cluster(monkeypatch) as whole:
        cancelled_uid, kept_uid = await replicas(whole)
        leader = whole.leader()
        other, third = (n for n in whole.controllers if n != leader)
        refuse_state_requests(whole, leader)
        if peers == "all unreachable":
            cut_peer_links(whole, leader)
        elif peers == "one down":
            whole.crash(third)
        confirmed_at = await cancel(whole, other, cancelled_uid)
        whole.state.down = True
        if peers == "all up":
            await trio.sleep(5)
            assert not running_tasks(whole, cancelled_uid), "the leader is notified of the confirmation"
            await trio.sleep_until(confirmed_at + CANCEL_S + 2 * LEASE_S)
            assert len(running_tasks(whole, kept_uid)) == 2 and len(whole.starts(kept_uid)) == 2, (
                "other tasks survive the outage"
            )
        await trio.sleep_until(confirmed_at + CANCEL_S)
        assert not running_tasks(whole, cancelled_uid)


async def test_with_a_controller_down_tasks_survive_an_outage_only_for_the_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller that is down may have confirmed cancellations that no other knows. Lost tasks start again once."""
    async with cluster(monkeypatch) as whole:
        _, kept_uid = await replicas(whole)
        third = next(n for n in whole.controllers if n != whole.leader())
        whole.state.down = True
        whole.crash(third)
        await trio.sleep(1)
        whole.start(third)
        restarted_at = trio.current_time()
        await trio.sleep(grace_s(settings()) - 4)
        assert len(running_tasks(whole, kept_uid)) == 2
        await trio.sleep_until(restarted_at + grace_s(settings()) + LEASE_S + 3)
        assert not whole.active_tasks(), (
            "a restarted controller knows nothing for certain about the time before its start"
        )
        whole.state.down = False
        await trio.sleep(30)
        assert len(running_tasks(whole, kept_uid)) == 2 and len(whole.starts(kept_uid)) == 4


async def test_with_all_controllers_up_tasks_survive_a_long_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        cancelled_uid, kept_uid = await replicas(whole)
        whole.state.down = True
        await trio.sleep(4 * CANCEL_S)
        assert len(whole.active_tasks()) == 5
        whole.state.down = False
        await trio.sleep(5)
        await cancel(whole, 0, cancelled_uid)
        await trio.sleep(5)
        assert not running_tasks(whole, cancelled_uid) and len(whole.starts(kept_uid)) == 2


async def test_an_older_controller_is_not_queried_and_cancel_s_still_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        cancelled_uid, _ = await replicas(whole)
        leader = whole.leader()
        other = next(n for n in whole.controllers if n != leader)
        view = whole.controllers[leader].view
        view.data[f"{VERSION_PREFIX}n{other}"] = ({"level": CANCELLATION_SYNC - 1}, 1)
        asked: list[int] = []
        link = whole.controllers[leader].links[f"n{other}"]
        real = link.ask

        async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> Any:
            asked.append(kind)
            return await real(kind, body, timeout, status)

        link.ask = ask  # type: ignore[method-assign]
        refuse_state_requests(whole, leader)
        confirmed_at = await cancel(whole, other, cancelled_uid)
        whole.state.down = True
        await trio.sleep_until(confirmed_at + CANCEL_S)
        assert CANCELLATION_QUERY not in asked and CANCELLATION_NOTICE not in asked
        assert not running_tasks(whole, cancelled_uid)


async def test_a_job_whose_cancellation_notice_precedes_its_record_starts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The notice of a cancellation may arrive before the job's own record."""
    async with cluster(monkeypatch) as whole:
        await replicas(whole)
        leader = whole.leader()
        other = next(n for n in whole.controllers if n != leader)
        await whole.controllers[other].links[f"n{leader}"].ask(CANCELLATION_NOTICE, b"req-000003", 1.0)
        whole.state.watch_lag_s = 0.5
        await whole.submit(other, uid="req-000003", rungs=4)
        await trio.sleep(5)
        assert not whole.starts("req-000003")


async def test_the_lease_expires_on_a_machine_that_does_not_stop_a_cancelled_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cloud is down, so that the machine can't be deleted, and it ignores stop orders: its lease has to expire."""
    async with cluster(monkeypatch) as whole:
        cancelled_uid, _ = await replicas(whole)
        for worker in whole.cloud.workers.values():
            worker.apply_orders = without_stop_orders(worker.apply_orders)  # type: ignore[method-assign]
        whole.cloud.down = True
        confirmed_at = await cancel(whole, 1, cancelled_uid)
        await trio.sleep_until(confirmed_at + LEASE_S)
        assert running_tasks(whole, cancelled_uid), "nothing else stops them"
        await trio.sleep_until(confirmed_at + CANCEL_S)
        assert not running_tasks(whole, cancelled_uid)


def without_stop_orders(obey: Callable[..., bool]) -> Callable[..., bool]:
    """Accept orders as before, but without those to stop a task."""
    return lambda epoch, orders: obey(epoch, [order for order in orders if order["verb"] != "stop"])


async def test_nothing_is_launched_without_the_leader_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """By the time a recorded claim would start, another controller may have confirmed its job's cancellation."""
    async with cluster(monkeypatch) as whole:
        await replicas(whole)
        leader = whole.leader()
        claim_keys: list[str] = []
        sessions = "ladderfield.leader.sessions.Sessions.orders"
        with monkeypatch.context() as slow:
            slow.setattr(sessions, lambda self, machine, now, tick, may_start=True: [])
            uid = await whole.submit(uid="req-000003", rungs=2)
            for _ in range(30):
                await trio.sleep(0.2)
                claim_keys = [key for key, (value, _, _) in whole.state.keys.items() if "lf/p/" in key and uid in value]
                if claim_keys:
                    break
            refuse_state_requests(whole, leader)
            whole.state.down = True
            await trio.sleep(3)
        assert claim_keys, "its claims are recorded"
        await trio.sleep(10)
        assert not whole.starts(uid)
        assert whole.leader() == leader, "it goes on answering its workers"


def answer(lived_s: float = 100.0, proven_s: float = math.inf, epoch: int = 3, uids: bytes = b"") -> Answer:
    """A controller's answer at 51 to a query sent at 50."""
    return Answer(ANSWER.pack(epoch, lived_s, proven_s) + uids, 50.0, 51.0)


@pytest.mark.parametrize(
    ("answers", "known_at"),
    [
        ([answer(), answer()], 50.0),
        ([answer(), None], -math.inf),  # one does not answer
        ([answer(), answer(lived_s=5.0)], -math.inf),  # one started after the last time at which all was known
        ([answer(), answer(epoch=4)], -math.inf),  # another has been elected
        ([answer(lived_s=5.0, proven_s=2.0), None], 47.996),  # but one had read all records shortly before
        ([answer(proven_s=2.0, epoch=4), answer()], -math.inf),
        ([], 50.0),  # there are no other controllers
    ],
)
def test_the_time_until_which_all_cancellations_are_known(answers: list[Answer | None], known_at: float) -> None:
    term = Term(3, 3, 1, 40.0, 2.0, 17.0, known_at=42.0)
    assert known_until(term, 50.0, answers) == pytest.approx(known_at)


def test_the_grace_period_and_a_lease_fit_into_cancel_s() -> None:
    default = settings()
    assert LEASE_S * 1.001 + grace_s(default) < CANCEL_S
    workers = msgspec.structs.replace(default.cluster.workers, cancel_s=LEASE_S)
    no_grace = msgspec.structs.replace(default, cluster=msgspec.structs.replace(default.cluster, workers=workers))
    assert grace_s(no_grace) == 0.0
    term = Term(3, 3, 1, renewed_at=40.0, ttl=2.0, grace=0.0, known_at=40.0)
    verdict = term.authority().verdict(Decision.KEEP_LEASE_ALIVE)
    assert verdict.holds(41.0) and not verdict.holds(42.5), "only while it provably holds the leader lease"


@pytest.mark.parametrize(
    "body",
    [b"", b"\0" * (ANSWER.size - 1), ANSWER.pack(1, -1.0, 0.0), ANSWER.pack(1, math.nan, 0.0),
     ANSWER.pack(1, math.inf, 0.0), ANSWER.pack(1, 1.0, math.nan), ANSWER.pack(1, 1.0, 1.0) + b"req-1 nonsense",
     ANSWER.pack(1, 1.0, 1.0) + b"\xff\xfe"],
)  # fmt: skip
def test_a_malformed_answer_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedAnswerError):
        Answer(body, 50.0, 51.0)


async def test_malformed_queries_and_notices_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        controller = whole.controllers[whole.leader()]
        for body in (b"", b"x" * (QUERY.size + 1), b"\xff" * 70):
            assert (await controller.handle_back(CANCELLATION_QUERY, 0, body))[0] == 400
        for body in (b"req-1 \xff", b"lf/f/req-000001", b"req-"):
            assert (await controller.handle_back(CANCELLATION_NOTICE, 0, body))[0] == 400
        status, answered = await controller.handle_back(CANCELLATION_QUERY, 0, QUERY.pack(2**64 - 1, 2**64 - 1))
        assert status == 200 and len(answered) == ANSWER.size
        assert whole.leader() in whole.controllers
