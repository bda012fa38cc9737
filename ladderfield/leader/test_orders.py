"""What goes out to machines while their reports come in."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

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
