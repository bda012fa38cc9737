"""Suspended processes: a candidate and a leader whose clocks advanced while they did not run."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.changes import Change
from ladderfield.connectivity.authority import Decision
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import ReportReceived
from ladderfield.leadership import EPOCH, Leadership
from ladderfield.settings import StateLimits
from ladderfield.state import KeyStatus, Outcome, StateClient, UnansweredError
from ladderfield.term import Term
from ladderfield.testing import TYPES, accepted, job, settings
from ladderfield.testing.leader import EPOCH_NOW, TOKEN_NOW
from ladderfield.view import View
from ladderfield.workers.report import Report, TaskReport


@pytest.mark.parametrize(("suspended_s", "elected"), [(0.1, True), (2.1, False)])
async def test_a_suspended_candidate_does_not_become_leader(
    monkeypatch: pytest.MonkeyPatch, suspended_s: float, elected: bool
) -> None:
    """Its lease may have expired, and it may have answered that it is not leader, which a successor relies on."""
    client = StateClient(settings())
    leadership = Leadership(settings(), client, View(client, settings()))

    async def grant_lease(*_: Any) -> int:
        return 1

    async def commit(*_: Any) -> Outcome:
        await trio.sleep(suspended_s)
        return Outcome(5, None)

    monkeypatch.setattr(client, "grant_lease", grant_lease)
    monkeypatch.setattr(client, "commit", commit)
    term = await leadership._campaign()
    assert (term is not None) is elected


@pytest.mark.parametrize(
    ("recorded", "read_s", "elected"),
    [(KeyStatus(5, 1), 0.1, True), (KeyStatus(5, 1), 2.1, False), (KeyStatus(5, 2), 0.1, False), (None, 0.1, False)],
    ids=["carried out", "read too late", "replaced", "not carried out yet"],
)
async def test_a_candidate_without_an_answer_leads_only_if_the_record_has_its_own_lease(
    monkeypatch: pytest.MonkeyPatch, recorded: KeyStatus | None, read_s: float, elected: bool
) -> None:
    """Otherwise the next campaign waits for a fresh view, as the guards of this one may be out of date."""
    client = StateClient(settings())
    view = View(client, settings())
    leadership, proofs = Leadership(settings(), client, view), list[float]()

    async def grant_lease(*_: Any) -> int:
        return 1

    async def commit(*_: Any) -> Outcome:
        raise UnansweredError("lost")

    async def key_status(*_: Any) -> KeyStatus | None:
        await trio.sleep(read_s)
        return recorded

    async def fresh(timeout: float) -> bool:
        proofs.append(timeout)
        return True

    for name, replacement in (("grant_lease", grant_lease), ("commit", commit), ("key_status", key_status)):
        monkeypatch.setattr(client, name, replacement)
    monkeypatch.setattr(view, "fresh", fresh)
    term = await leadership._campaign()
    assert (term is not None and term.epoch_revision == 5) is elected
    assert bool(proofs) is (recorded != KeyStatus(5, 1))


async def test_a_lease_that_was_granted_slowly_counts_from_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that claims, rents and deletes after its lease has run out: its successor does so too."""
    client = StateClient(settings())
    leadership = Leadership(settings(), client, View(client, settings()))
    answer_s = 0.9
    granted_at = trio.current_time()

    async def grant_lease(*_: Any) -> int:
        await trio.sleep(answer_s)
        return 1

    async def commit(*_: Any) -> Outcome:
        return Outcome(5, None)

    monkeypatch.setattr(client, "grant_lease", grant_lease)
    monkeypatch.setattr(client, "commit", commit)
    term = await leadership._campaign()
    assert term is not None and term.known_at == granted_at + answer_s
    assert term.authority().lease_until <= granted_at + leadership.ttl
    assert not term.authority().allows(Decision.CLAIM, granted_at + leadership.ttl)


async def test_an_ended_term_is_not_renewed(monkeypatch: pytest.MonkeyPatch) -> None:
    client = StateClient(settings())
    leadership, term = Leadership(settings(), client, View(client, settings())), Term(7, 3, 1, 0.0, 2.0, 17.0, 0.0)
    renewals: list[float] = []

    async def renew_lease(*_: Any) -> bool:
        renewals.append(trio.current_time())
        return True

    monkeypatch.setattr(client, "renew_lease", renew_lease)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leadership._renew, term)
        await trio.sleep(0.7)
        term.end("test")
    assert len(renewals) == 1, "at a quarter of the lease"


def _report(sequence: int, epoch: int = TOKEN_NOW) -> Report:
    return Report("m", "10.9.0.1:90", "m4", "za", False, 1, sequence, epoch, None, list[TaskReport]())


async def test_a_suspended_leader_starts_nothing_and_answers_only_within_its_bound() -> None:
    client = StateClient(settings())
    leader = Leader(
        settings(),
        Term(EPOCH_NOW, 3, 1, 0.0, 2.0, 17.0, 0.0),
        client,
        View(client, settings()),
        Cloud(settings()),
        DependencyGraph(lambda key: None),
    )
    leader.dispatcher.dispatch = lambda now: None  # type: ignore[method-assign]
    leader.scheduler.load({"lf/types": (TYPES, 1), EPOCH: ({"epoch": EPOCH_NOW}, 3)}, 0.0)
    leader.scheduler.take_changes([Change("lf/j/req-000001", accepted(job(rungs=1)), 5)], 0.0)
    bound = leader.term.known_at + leader.term.grace
    for now, answered, started in ((bound - 0.1, True, 0), (bound + 0.1, False, 0), (1.0, True, 1)):
        message = ReportReceived(_report(int(1000 - now)), False)
        leader.scheduler.sessions.report(_report(int(2000 - now)), now, answering=False)
        leader.intake.on_report(message, now)
        assert message.answer.is_set() and (message.answer.value is not None) is answered
        leader._advance(now)
        assert len(leader.scheduler.machines["m"].claims) == started


async def test_the_epoch_record_fits_the_value_limit_with_any_controller_names() -> None:
    """The earlier leaders in it only tell a successor where to wait; they must not keep the epoch from being raised."""
    own = settings()
    state = msgspec.convert({"rps": 100, "write_rps": 25, "value_kb": 2, "txn_ops": 5}, StateLimits)
    own = msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, state=state))
    client = StateClient(own)
    view = View(client, own)
    until = time.time() + 1000
    before = {f"{n}" + "\u00e9" * 90: until + n for n in range(30)}
    view.data[EPOCH] = ({"epoch": 6, "member": "n1", "before": before}, 4)
    earlier = Leadership(own, client, view)._earlier_leaders()
    record = {"epoch": EPOCH_NOW, "member": "n0", "before": earlier}
    assert 5 < len(earlier) < 30 and len(msgspec.json.encode(record)) <= 2 * 1024
    assert max(before, key=lambda member: before[member]) in earlier, "the one that may answer longest is kept"
