"""Which reports are redirected to the leader or relayed, and which are rejected."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ladderfield.http import Request
from ladderfield.leadership import EPOCH, LEADER, Leadership
from ladderfield.peers import PeerAnswer, PeerLink
from ladderfield.settings import Peer
from ladderfield.state import StateClient
from ladderfield.testing import REPORT, settings
from ladderfield.tokens import next_epoch
from ladderfield.view import View
from ladderfield.workers.report import parse_report
from ladderfield.workers.report_handler import ReportHandler


async def test_worker_is_redirected_to_the_leader_and_relayed_if_it_reports_here_again() -> None:
    own = settings(1)
    client = StateClient(own)
    view = View(client, own)
    view.data = {LEADER: ({"member": "n0"}, 1), EPOCH: ({"epoch": next_epoch(3)}, 1)}
    link = PeerLink(Peer("n0", "10.0.0.1:81"))
    handler = ReportHandler(own, Leadership(own, client, view), {"n0": link})
    leader_up, sequence_numbers = True, iter(range(100))

    async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        return PeerAnswer(200, b"{}") if leader_up else None

    link.ask = ask  # type: ignore[method-assign]

    async def report_after(pause_s: float, host: str, epoch: int) -> str:
        await trio.sleep(pause_s)
        body = msgspec.json.encode(REPORT | {"host": host, "epoch": epoch, "tick": next(sequence_numbers)})
        reply = await handler(Request("POST", "/v1/report", body))
        assert reply is not None
        return "relayed" if reply.status == 200 else "redirected" if b"n0" in reply.body else "refused"

    assert await report_after(0, "i-1", 0) == "redirected", "new"
    assert await report_after(2, "i-1", 0) == "relayed", "reports here again after the redirect"
    assert await report_after(50, "i-1", 0) == "relayed", "and is relayed for some leases"
    assert await report_after(15, "i-1", 0) == "redirected", "then it is redirected again"
    assert await report_after(0, "i-2", 4) == "relayed", "shows the leader's epoch, so it has left the leader"
    assert await report_after(11, "i-2", 4) == "relayed", "a suspicion lasts a lease"
    assert await report_after(2, "i-2", 4) == "redirected"
    assert await report_after(5, "i-2", 4) == "relayed", (
        "reports here again: the leader is known to be unreachable from it"
    )
    assert await report_after(40, "i-2", 4) == "relayed"
    leader_up = False
    assert await report_after(0, "i-3", 4) == "refused", (
        "the leader is down: no worker reaches it, which shows nothing about this one"
    )
    leader_up = True
    assert await report_after(1, "i-3", 3) == "redirected"
    link.reachable = False
    assert await report_after(0, "i-4", 0) == "refused", (
        "neither the leader nor a controller that might relay is reachable"
    )


@pytest.mark.parametrize(
    "change",
    [{"host": 3}, {"tenure": -1}, {"tick": 2**64}, {"rungs": 1}, {"rungs": [{"rung": "x", "try": 1, "phase": "y"}]}],
)  # fmt: skip
def test_malformed_reports_are_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        parse_report(msgspec.json.encode(REPORT | change))


async def test_late_copy_of_a_report_does_not_show_that_the_leader_is_unreachable() -> None:
    own = settings(1)
    client = StateClient(own)
    view = View(client, own)
    view.data = {LEADER: ({"member": "n0"}, 1), EPOCH: ({"epoch": 4}, 1)}
    link = PeerLink(Peer("n0", "10.0.0.1:81"))
    handler = ReportHandler(own, Leadership(own, client, view), {"n0": link})

    async def relayed(kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        return PeerAnswer(200, b"{}")

    link.ask = relayed  # type: ignore[method-assign]
    body = msgspec.json.encode(REPORT | {"host": "i-1", "tick": 9})
    for _ in range(3):
        reply = await handler(Request("POST", "/v1/report", body))
        assert reply is not None and reply.status == 421, "a copy of the redirected report"
    newer = await handler(Request("POST", "/v1/report", msgspec.json.encode(REPORT | {"host": "i-1", "tick": 10})))
    assert newer is not None and newer.status == 200, "a new report after the redirect is relayed"
