"""How long a leader without the state service keeps tasks alive.

Never so long that a cancellation which another controller confirmed, and which it can't see, is carried out later than
cancel_s after its user was told.
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
from ladderfield.testing.cluster import Cluster, cluster, refuse, silent_peer

CANCEL_S = SETTINGS["cluster"]["workers"]["cancel_s"]
LEASE_S = SETTINGS["cluster"]["workers"]["lease_s"]


def apart(whole: Cluster, number: int) -> None:
    """The other controllers can't be asked, nor ask."""
    for other, one in whole.controllers.items():
        for name, link in one.links.items():
            if other == number or name == f"n{number}":
                link.ask = silent_peer(link)  # type: ignore[method-assign]


async def replicas(whole: Cluster) -> tuple[str, str]:
    """A job to be cancelled and one to go on, both running, everybody sure of everything."""
    doomed = await whole.submit(shape="daemon", rungs=3)
    steady = await whole.submit(uid="req-000002", shape="daemon", rungs=2)
    await whole.busy(doomed)
    await whole.busy(steady)
    await trio.sleep(8)
    assert sum(whole.on().values()) == 5
    return doomed, steady


def left(whole: Cluster, uid: str) -> list[str]:
    """Tasks of the job that are on machines."""
    return [name for name in whole.on() if name.startswith(f"{uid}/")]


async def cancel(whole: Cluster, node: int, uid: str) -> float:
    """Have a cancellation confirmed; when that was."""
    status, answer = await whole.call(node, "POST", f"/api/jobs/{uid}/cancel")
    assert (status, answer["phase"]) == (200, "cancelled")
    return trio.current_time()


@pytest.mark.parametrize("peers", ["none of them can be asked", "one of them is down", "all are up"])
async def test_the_gap(monkeypatch: pytest.MonkeyPatch, peers: str) -> None:
    """A cancellation is confirmed while the state service refuses the leader alone.

    Then the state service is down for all, for longer than cancel_s, while the workers report to the old leader.
    """
    async with cluster(monkeypatch) as whole:
        doomed, steady = await replicas(whole)
        first = whole.leader()
        other, third = (n for n in whole.controllers if n != first)
        refuse(whole, first)
        if peers == "none of them can be asked":
            apart(whole, first)
        elif peers == "one of them is down":
            whole.crash(third)
        confirmed = await cancel(whole, other, doomed)
        whole.state.down = True
        if peers == "all are up":
            await trio.sleep(5)
            assert not left(whole, doomed), "the leader is told as it is confirmed"
            await trio.sleep_until(confirmed + CANCEL_S + 2 * LEASE_S)
            assert len(left(whole, steady)) == 2 and len(whole.starts(steady)) == 2, "and the rest survives the outage"
        await trio.sleep_until(confirmed + CANCEL_S)
        assert not left(whole, doomed)


async def test_an_outage_without_one_of_the_controllers_is_survived_for_the_grace_period_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Who is down may have confirmed what nobody else knows. What is lost is started again afterwards, once."""
    async with cluster(monkeypatch) as whole:
        _, steady = await replicas(whole)
        third = next(n for n in whole.controllers if n != whole.leader())
        whole.state.down = True
        whole.crash(third)
        await trio.sleep(1)
        whole.start(third)
        begun = trio.current_time()
        await trio.sleep(grace_s(settings()) - 4)
        assert len(left(whole, steady)) == 2
        await trio.sleep_until(begun + grace_s(settings()) + LEASE_S + 3)
        assert not whole.on(), "a controller that restarted knows nothing for sure from before"
        whole.state.down = False
        await trio.sleep(30)
        assert len(left(whole, steady)) == 2 and len(whole.starts(steady)) == 4


async def test_an_outage_is_survived_with_all_controllers_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        doomed, steady = await replicas(whole)
        whole.state.down = True
        await trio.sleep(4 * CANCEL_S)
        assert len(whole.on()) == 5
        whole.state.down = False
        await trio.sleep(5)
        await cancel(whole, 0, doomed)
        await trio.sleep(5)
        assert not left(whole, doomed) and len(whole.starts(steady)) == 2


async def test_an_older_controller_is_not_asked_and_the_bound_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        doomed, _ = await replicas(whole)
        first = whole.leader()
        other = next(n for n in whole.controllers if n != first)
        view = whole.controllers[first].view
        view.data[f"{VERSION_PREFIX}n{other}"] = ({"level": CANCELLATION_SYNC - 1}, 1)
        asked: list[int] = []
        link = whole.controllers[first].links[f"n{other}"]
        real = link.ask

        async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> Any:
            asked.append(kind)
            return await real(kind, body, timeout, status)

        link.ask = ask  # type: ignore[method-assign]
        refuse(whole, first)
        confirmed = await cancel(whole, other, doomed)
        whole.state.down = True
        await trio.sleep_until(confirmed + CANCEL_S)
        assert CANCELLATION_QUERY not in asked and CANCELLATION_NOTICE not in asked
        assert not left(whole, doomed)


async def test_what_is_told_before_it_is_seen_on_record_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The job's own record may come later than the word of its cancellation."""
    async with cluster(monkeypatch) as whole:
        await replicas(whole)
        first = whole.leader()
        other = next(n for n in whole.controllers if n != first)
        await whole.controllers[other].links[f"n{first}"].ask(CANCELLATION_NOTICE, b"req-000003", 1.0)
        whole.state.watch_lag = 0.5
        await whole.submit(other, uid="req-000003", rungs=4)
        await trio.sleep(5)
        assert not whole.starts("req-000003")


async def test_a_machine_that_keeps_a_cancelled_task_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    """The cloud is down, so that it can't be deleted, and it does not do what it is told: its lease has to end."""
    async with cluster(monkeypatch) as whole:
        doomed, _ = await replicas(whole)
        for worker in whole.cloud.workers.values():
            worker.obey = keeping(worker.obey)  # type: ignore[method-assign]
        whole.cloud.down = True
        confirmed = await cancel(whole, 1, doomed)
        await trio.sleep_until(confirmed + LEASE_S)
        assert left(whole, doomed), "nothing else takes them off"
        await trio.sleep_until(confirmed + CANCEL_S)
        assert not left(whole, doomed)


def keeping(obey: Callable[..., bool]) -> Callable[..., bool]:
    """A worker that answers, but never stops a task."""
    return lambda epoch, orders: obey(epoch, [order for order in orders if order["verb"] != "stop"])


async def test_nothing_is_launched_without_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is on record may be confirmed as cancelled elsewhere by the time it would start."""
    async with cluster(monkeypatch) as whole:
        await replicas(whole)
        leader = whole.leader()
        held: list[str] = []
        sessions = "ladderfield.leader.sessions.Sessions.orders"
        with monkeypatch.context() as slow:
            slow.setattr(sessions, lambda self, machine, now, tick, may_start=True: [])
            later = await whole.submit(uid="req-000003", rungs=2)
            for _ in range(30):
                await trio.sleep(0.2)
                held = [key for key, (value, _, _) in whole.state.keys.items() if "lf/p/" in key and later in value]
                if held:
                    break
            refuse(whole, leader)
            whole.state.down = True
            await trio.sleep(3)
        assert held, "its claims are on record"
        await trio.sleep(10)
        assert not whole.starts(later)
        assert whole.leader() == leader, "while it goes on answering its workers"


def answer(lived_s: float = 100.0, proven_s: float = math.inf, epoch: int = 3, uids: bytes = b"") -> Answer:
    """What a controller knows when it is asked at 50 and answers at 51."""
    return Answer(ANSWER.pack(epoch, lived_s, proven_s) + uids, 50.0, 51.0)


@pytest.mark.parametrize(
    ("answers", "known"),
    [
        ([answer(), answer()], 50.0),
        ([answer(), None], -math.inf),  # one is silent
        ([answer(), answer(lived_s=5.0)], -math.inf),  # one began after all was known last
        ([answer(), answer(epoch=4)], -math.inf),  # another has been elected
        ([answer(lived_s=5.0, proven_s=2.0), None], 47.996),  # but one has read it all lately
        ([answer(proven_s=2.0, epoch=4), answer()], -math.inf),
        ([], 50.0),  # there is no other controller
    ],
)
def test_up_to_when_every_cancellation_is_known(answers: list[Answer | None], known: float) -> None:
    term = Term(3, 3, 1, 40.0, 2.0, 17.0, known_at=42.0)
    assert known_until(term, 50.0, answers) == pytest.approx(known)


def test_the_grace_period_leaves_room_for_a_lease() -> None:
    own = settings()
    assert LEASE_S * 1.001 + grace_s(own) < CANCEL_S
    workers = msgspec.structs.replace(own.cluster.workers, cancel_s=LEASE_S)
    none = msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, workers=workers))
    assert grace_s(none) == 0.0
    term = Term(3, 3, 1, renewed_at=40.0, ttl=2.0, grace=0.0, known_at=40.0)
    keeps = term.authority().verdict(Decision.KEEP_LEASE_ALIVE)
    assert keeps.holds(41.0) and not keeps.holds(42.5), "only while its lease is surely its own"


@pytest.mark.parametrize(
    "body",
    [b"", b"\0" * (ANSWER.size - 1), ANSWER.pack(1, -1.0, 0.0), ANSWER.pack(1, math.nan, 0.0),
     ANSWER.pack(1, math.inf, 0.0), ANSWER.pack(1, 1.0, math.nan), ANSWER.pack(1, 1.0, 1.0) + b"req-1 nonsense",
     ANSWER.pack(1, 1.0, 1.0) + b"\xff\xfe"],
)  # fmt: skip
def test_a_strange_answer_vouches_for_nothing(body: bytes) -> None:
    with pytest.raises(MalformedAnswerError):
        Answer(body, 50.0, 51.0)


async def test_strange_questions_and_notices_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        one = whole.controllers[whole.leader()]
        for body in (b"", b"x" * (QUERY.size + 1), b"\xff" * 70):
            assert (await one.handle_back(CANCELLATION_QUERY, 0, body))[0] == 400
        for body in (b"req-1 \xff", b"lf/f/req-000001", b"req-"):
            assert (await one.handle_back(CANCELLATION_NOTICE, 0, body))[0] == 400
        status, answered = await one.handle_back(CANCELLATION_QUERY, 0, QUERY.pack(2**64 - 1, 2**64 - 1))
        assert status == 200 and len(answered) == ANSWER.size
        assert whole.leader() in whole.controllers
