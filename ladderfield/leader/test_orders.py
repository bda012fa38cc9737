"""Pushes to machines and calls to the cloud when a session or the leader's lease ends meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.fleet.capacity import Offer, Rental
from ladderfield.http import Client, NoAnswerError
from ladderfield.leader.messages import ReportReceived
from ladderfield.queues.work import task_name
from ladderfield.testing.leader import TOKEN_NOW, leader_with_claim, session_report
from ladderfield.workers.report import Report, TaskReport


async def test_a_push_names_the_session_that_its_orders_were_made_for_even_if_it_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The claim ends with the session and the task may start elsewhere, so its launch must not start it here too."""
    leader = leader_with_claim()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(msgspec.json.decode(msgspec.json.encode(body)))
        raise NoAnswerError("lost")

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        leader.dispatcher.dispatch(0.1)  # starts the push task, which makes its call later
        leader.scheduler.sessions.report(session_report(2, 2), 0.1, answering=True)
        assert not leader.scheduler.machines["m"].claims
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert [(body["tenure"], [order["verb"] for order in body["orders"]]) for body in sent] == [(1, ["launch"])]


async def test_a_push_contains_no_launch_after_the_leader_lease_has_expired(monkeypatch: pytest.MonkeyPatch) -> None:
    """The claim is recorded, but another controller may be leader and have confirmed the job as cancelled."""
    leader = leader_with_claim()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(msgspec.json.decode(msgspec.json.encode(body)))
        raise NoAnswerError("lost")

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        lease_end = leader.term.renewed_at + leader.term.ttl
        leader.dispatcher.request("m")
        leader.dispatcher.dispatch(lease_end)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert [order for body in sent for order in body["orders"]] == []
    assert leader.scheduler.machines["m"].claims, "the claim stays valid"


async def test_rentals_and_deletions_are_authorised_after_the_wait_for_the_cloud_rate_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = leader_with_claim()
    allowed: list[bool] = []

    async def rent(*arguments: Any) -> list[str]:
        allowed.append(arguments[-1]())
        return []

    async def delete(hosts: list[str], may_delete: Callable[[], bool]) -> None:
        allowed.append(may_delete())

    monkeypatch.setattr(leader.cloud_tasks.cloud, "rent", rent)
    monkeypatch.setattr(leader.cloud_tasks.cloud, "delete", delete)
    for _ in ("with the lease", "without it"):
        await leader.cloud_tasks.rent("h-1", Rental(Offer("m4", "za", False), 1))
        await leader.cloud_tasks.delete(["m"])
        await trio.sleep(2 * leader.term.ttl)
    assert allowed == [True, True, False, False]


async def test_nothing_is_rented_returned_or_deleted_after_the_leader_lease_has_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = leader_with_claim()
    actions: list[str] = []

    async def delete(hosts: list[str]) -> None:
        actions.extend(hosts)

    monkeypatch.setattr(leader.cloud_tasks, "delete", delete)

    def plan(now: float) -> list[str]:
        actions.append("planned")
        return []

    monkeypatch.setattr(leader.fleet, "_plan", plan)
    async with trio.open_nursery() as nursery:
        leader.fleet.nursery = nursery
        leader.fleet.manage(["m"], leader.term.renewed_at + leader.term.ttl)
        await trio.sleep(0.1)
        assert actions == []
        leader.fleet.manage(["m"], leader.term.renewed_at)
        await trio.sleep(0.1)
    assert actions == ["planned", "m"]


async def test_a_repeated_report_takes_no_orders_away_from_the_machine() -> None:
    """Guards against a stop that counts as sent with an answer that reaches nobody."""
    leader = leader_with_claim()
    scheduler = leader.scheduler

    def verbs_answering(report: Report, now: float) -> list[str]:
        message = ReportReceived(report, False)
        leader.intake.on_report(message, now)
        assert message.answer.value is not None
        return [order.verb for order in message.answer.value.orders]

    assert verbs_answering(session_report(1, 2), 0.2) == ["launch"]
    (claim,) = scheduler.machines["m"].claims.values()
    running = TaskReport(task_name(claim.task), claim.attempt, "running")
    report = msgspec.structs.replace(session_report(1, 3), task_reports=[running])
    assert verbs_answering(report, 0.3) == []
    scheduler.stop(claim, "preempted", 0.4)
    assert verbs_answering(report, 0.5) == [], "a copy, whose answer nobody waits for"
    assert verbs_answering(msgspec.structs.replace(report, sequence=4), 0.6) == ["stop"]


async def test_a_machine_that_shows_a_token_it_was_never_sent_is_faulty_and_gets_no_answer() -> None:
    """Guards against a machine that would drop every later message, as the leader's own tokens stay below."""
    leader = leader_with_claim()
    message = ReportReceived(msgspec.structs.replace(session_report(1, 2), epoch=TOKEN_NOW + 9), False)
    leader.intake.on_report(message, 0.2)
    assert message.answer.is_set() and message.answer.value is None
    assert leader.scheduler.machines["m"].faulty and not leader.term.over.is_set()


async def test_a_push_and_an_answer_carry_the_machines_raised_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against messages that the worker drops, as it has seen a higher token."""
    leader = leader_with_claim()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(body)
        raise NoAnswerError("lost")

    monkeypatch.setattr(Client, "call", call)
    leader.scheduler.machines["m"].token = TOKEN_NOW + 3
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        leader.dispatcher.dispatch(0.1)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    message = ReportReceived(session_report(1, 2), False)
    leader.intake.on_report(message, 0.2)
    assert message.answer.value is not None
    assert [body.token for body in sent] == [message.answer.value.token] == [TOKEN_NOW + 3]
