"""What goes out to machines while their reports come in."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.fleet.cloud import Cloud
from ladderfield.http import Client, NoAnswer
from ladderfield.jobs.chains import Chains
from ladderfield.leader.actor import Leader
from ladderfield.leadership import EPOCH, Term
from ladderfield.state import StateClient
from ladderfield.testing import TYPES, accepted, job, settings
from ladderfield.view import Change, View
from ladderfield.workers.report import Report


def claimed_leader() -> Leader:
    """A leader of epoch 7 with one recorded claim, not launched yet, on machine m."""
    client = StateClient(settings())
    term = Term(7, 3, 1, 0.0, 2.0, 17.0, 0.0)
    leader = Leader(settings(), term, client, View(client, settings()), Cloud(settings()), Chains(lambda key: None))
    leader.desk.load({"lf/types": (TYPES, 1), EPOCH: ({"epoch": 7}, 3)}, 0.0)
    leader.desk.take_changes([Change("lf/j/req-000001", accepted(job(rungs=1)), 5)], 0.0)
    leader.desk.sessions.report(_report(1, 1), 0.1, answering=True)
    leader.desk.schedule(0.1)
    txn = leader.ledger.collect(True)
    assert txn is not None
    leader.ledger.applied(txn, 9, 0.1)
    return leader


def _report(tenure: int, tick: int) -> Report:
    return Report("m", "10.9.0.1:90", "m4", "za", False, tenure, tick, 7, None, [])


async def test_orders_made_for_a_session_that_ends_meanwhile_are_for_that_session(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The claim ends with the session, so that the task may start elsewhere: its launch must not begin it there too."""
    leader = claimed_leader()
    sent: list[Any] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(body)
        raise NoAnswer("lost")

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        leader.dispatcher.nursery = nursery
        leader.dispatcher.dispatch(0.1)  # the call is yet to be made
        leader.desk.sessions.report(_report(2, 2), 0.1, answering=True)
        assert not leader.desk.machines["m"].claims
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert [(body["tenure"], [order["verb"] for order in body["orders"]]) for body in sent] == [(1, ["launch"])]
