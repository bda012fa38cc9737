"""What goes out to machines while their reports come in."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.fleet.capacity import Offer, Rental
from ladderfield.http import Client, NoAnswerError
from ladderfield.testing.leader import claimed_leader, session_report


async def test_orders_made_for_a_session_that_ends_meanwhile_are_for_that_session(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The claim ends with the session, so that the task may start elsewhere: its launch must not begin it there too."""
    leader = claimed_leader()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(msgspec.json.decode(msgspec.json.encode(body)))
        raise NoAnswerError("lost")

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        leader.dispatcher.dispatch(0.1)  # the call is yet to be made
        leader.scheduler.sessions.report(session_report(2, 2), 0.1, answering=True)
        assert not leader.scheduler.machines["m"].claims
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert [(body["tenure"], [order["verb"] for order in body["orders"]]) for body in sent] == [(1, ["launch"])]


async def test_a_push_carries_no_launch_without_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """The claim is on record, but another may be leader, and the job confirmed as cancelled there."""
    leader = claimed_leader()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(msgspec.json.decode(msgspec.json.encode(body)))
        raise NoAnswerError("lost")

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        lease_over = leader.term.renewed_at + leader.term.ttl
        leader.dispatcher.request("m")
        leader.dispatcher.dispatch(lease_over)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert [order for body in sent for order in body["orders"]] == []
    assert leader.scheduler.machines["m"].claims, "the claim stands"


async def test_hires_and_deletions_are_decided_when_their_turn_at_the_cloud_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = claimed_leader()
    allowed: list[bool] = []

    async def rent(*arguments: Any) -> list[str]:
        allowed.append(arguments[-1]())
        return []

    async def delete(hosts: list[str], may: Callable[[], bool]) -> None:
        allowed.append(may())

    monkeypatch.setattr(leader.cloud_tasks.cloud, "rent", rent)
    monkeypatch.setattr(leader.cloud_tasks.cloud, "delete", delete)
    for _ in ("with the lease", "without it"):
        await leader.cloud_tasks.rent("h-1", Rental(Offer("m4", "za", False), 1))
        await leader.cloud_tasks.delete(["m"])
        await trio.sleep(2 * leader.term.ttl)
    assert allowed == [True, True, False, False]


async def test_nothing_is_rented_returned_or_deleted_without_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = claimed_leader()
    asked: list[str] = []

    async def delete(hosts: list[str]) -> None:
        asked.extend(hosts)

    monkeypatch.setattr(leader.cloud_tasks, "delete", delete)

    def plan(now: float) -> list[str]:
        asked.append("planned")
        return []

    monkeypatch.setattr(leader.fleet, "_plan", plan)
    async with trio.open_nursery() as nursery:
        leader.fleet.nursery = nursery
        leader.fleet.manage(["m"], leader.term.renewed_at + leader.term.ttl)
        await trio.sleep(0.1)
        assert asked == []
        leader.fleet.manage(["m"], leader.term.renewed_at)
        await trio.sleep(0.1)
    assert asked == ["planned", "m"]
