"""Who gets a report relayed, and which reports are refused."""

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
from ladderfield.view import View
from ladderfield.workers.report import parse_report
from ladderfield.workers.report_handler import ReportHandler


async def test_a_worker_is_sent_to_the_leader_first_and_relayed_when_it_comes_back() -> None:
    own = settings(1)
    client = StateClient(own)
    view = View(client, own)
    view.data = {LEADER: ({"member": "n0"}, 1), EPOCH: ({"epoch": 4}, 1)}
    link = PeerLink(Peer("n0", "10.0.0.1:81"))
    scheduler = ReportHandler(own, Leadership(own, client, view), {"n0": link})
    up, ticks = True, iter(range(100))

    async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        return PeerAnswer(200, b"{}") if up else None

    link.ask = ask  # type: ignore[method-assign]

    async def after(pause: float, host: str, epoch: int) -> str:
        await trio.sleep(pause)
        body = msgspec.json.encode(REPORT | {"host": host, "epoch": epoch, "tick": next(ticks)})
        reply = await scheduler(Request("POST", "/v1/report", body))
        assert reply is not None
        return "relayed" if reply.status == 200 else "sent" if b"n0" in reply.body else "next"

    assert await after(0, "i-1", 0) == "sent", "new"
    assert await after(2, "i-1", 0) == "relayed", "came back"
    assert await after(50, "i-1", 0) == "relayed", "and stays relayed for some leases"
    assert await after(15, "i-1", 0) == "sent", "then it is sent there again"
    assert await after(0, "i-2", 4) == "relayed", "has the leader's epoch, so it was there and left"
    assert await after(11, "i-2", 4) == "relayed", "a suspicion lasts a lease"
    assert await after(2, "i-2", 4) == "sent"
    assert await after(5, "i-2", 4) == "relayed", "came back: it is known now"
    assert await after(40, "i-2", 4) == "relayed"
    up = False
    assert await after(0, "i-3", 4) == "next", "the leader is gone: everybody comes back from it, which tells nothing"
    up = True
    assert await after(1, "i-3", 3) == "sent"
    link.reachable = False
    assert await after(0, "i-4", 0) == "next", "we can't reach it either, nor another that might"


@pytest.mark.parametrize(
    "change",
    [{"host": 3}, {"tenure": -1}, {"tick": 2**64}, {"rungs": 1}, {"rungs": [{"rung": "x", "try": 1, "phase": "y"}]}],
)  # fmt: skip
def test_malformed_reports_are_refused(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        parse_report(msgspec.json.encode(REPORT | change))


async def test_a_late_copy_tells_nothing_about_whom_a_worker_can_reach() -> None:
    own = settings(1)
    client = StateClient(own)
    view = View(client, own)
    view.data = {LEADER: ({"member": "n0"}, 1), EPOCH: ({"epoch": 4}, 1)}
    link = PeerLink(Peer("n0", "10.0.0.1:81"))
    scheduler = ReportHandler(own, Leadership(own, client, view), {"n0": link})

    async def relayed(kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        return PeerAnswer(200, b"{}")

    link.ask = relayed  # type: ignore[method-assign]
    body = msgspec.json.encode(REPORT | {"host": "i-1", "tick": 9})
    for _ in range(3):
        reply = await scheduler(Request("POST", "/v1/report", body))
        assert reply is not None and reply.status == 421, "a copy of what was sent to the leader"
    newer = await scheduler(Request("POST", "/v1/report", msgspec.json.encode(REPORT | {"host": "i-1", "tick": 10})))
    assert newer is not None and newer.status == 200, "came back itself: relayed"
