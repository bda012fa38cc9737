"""The steps of a resignation, each of which checks again whether resigning is still right."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.connectivity.options import ReachOptions
from ladderfield.connectivity.reachability import Reachability
from ladderfield.connectivity.resignations import RESIGNATIONS
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.connectivity.worker_reach import CutDirections, ZoneReach
from ladderfield.leader.resignation import Resignation
from ladderfield.leadership import EPOCH
from ladderfield.rollout import REACH_EXCHANGE, Rollout
from ladderfield.state import Outcome, StateServiceError
from ladderfield.testing import settings
from ladderfield.testing.leader import leader_with_claim

MIN_TERM_S = 1.0


class ResignationHarness:
    """A leader that should resign until ``heal`` is called."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.leader = leader_with_claim()
        self.term, self.client = self.leader.term, self.leader.client
        workers = settings().cluster.workers
        self.reachability = Reachability(workers.report_s, workers.lease_s, 100)
        self.reachability.cut = CutDirections(True, True)
        self.succession = Succession(ReachOptions(MIN_TERM_S, 4.0), workers.report_s)
        rollout = Rollout(settings(), self.client, self.leader.view)
        rollout._common_level = REACH_EXCHANGE
        self.resignation = Resignation(
            self.term, "n0", self.succession, self.reachability, rollout, self.leader.writer, self.client,
            self.leader.view,
        )  # fmt: skip
        self.written: list[tuple[dict[str, int], dict[str, Any]]] = []
        self.outcome: Outcome | None = Outcome(9, None)
        self.heal_on_commit = False
        monkeypatch.setattr(self.client, "commit", self._commit)

    async def _commit(self, guards: dict[str, int], puts: dict[str, Any], *_: Any) -> Outcome:
        self.written.append((guards, puts))
        if self.heal_on_commit:
            self.heal()
        if self.outcome is None:
            raise StateServiceError("no answer")
        return self.outcome

    def heal(self) -> None:
        """Workers reach this leader again."""
        self.reachability.cut = CutDirections()

    async def begin(self, nursery: trio.Nursery) -> None:
        """Wait for the minimum term, then let the leader consider resigning."""
        self.resignation.nursery = nursery
        await trio.sleep(MIN_TERM_S)
        self.term.renewed_at = self.term.known_at = now = trio.current_time()
        self.succession.note_peer("n1", PeerReach(ZoneReach(20, 5, 8, 8), True, now))
        self.resignation.consider(now)


async def test_a_resignation_is_recorded_under_the_epoch_guard_and_ends_the_term(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ResignationHarness(monkeypatch)
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
    ((guards, puts),) = harness.written
    assert guards == {EPOCH: harness.term.epoch_revision, RESIGNATIONS: 0} and puts[RESIGNATIONS]["member"] == "n0"
    assert harness.term.over.is_set() and harness.term.released


async def test_a_resignation_waits_for_the_answer_to_the_current_write(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = ResignationHarness(monkeypatch)
    harness.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
        await trio.sleep(0.5)
        assert harness.term.resigning and not harness.term.over.is_set() and not harness.written
        harness.leader.writer.unanswered = False
    assert harness.term.over.is_set()


async def test_a_resignation_is_abandoned_if_the_current_write_is_never_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ResignationHarness(monkeypatch)
    harness.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
    assert not harness.term.over.is_set() and not harness.term.resigning and not harness.written


async def test_a_resignation_is_abandoned_unrecorded_if_the_cut_heals_during_the_current_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ResignationHarness(monkeypatch)
    harness.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
        await trio.sleep(0.5)
        harness.heal()
        harness.leader.writer.unanswered = False
    assert not harness.term.over.is_set() and not harness.term.resigning and not harness.written


async def test_a_resignation_is_abandoned_if_the_cut_heals_while_it_is_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ResignationHarness(monkeypatch)
    harness.heal_on_commit = True
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
    assert harness.written and not harness.term.over.is_set() and not harness.term.resigning


@pytest.mark.parametrize("outcome", [None, Outcome(9, [EPOCH])])
async def test_a_resignation_that_could_not_be_recorded_is_abandoned(
    monkeypatch: pytest.MonkeyPatch, outcome: Outcome | None
) -> None:
    harness = ResignationHarness(monkeypatch)
    harness.outcome = outcome
    async with trio.open_nursery() as nursery:
        await harness.begin(nursery)
    assert not harness.term.over.is_set() and not harness.term.resigning


async def test_a_leader_whose_lease_may_have_expired_does_not_resign(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a pause of the process or a state service outage, its release could follow another leader's election."""
    harness = ResignationHarness(monkeypatch)
    async with trio.open_nursery() as nursery:
        harness.resignation.nursery = nursery
        await trio.sleep(MIN_TERM_S + harness.term.ttl)
        now = trio.current_time()
        harness.succession.note_peer("n1", PeerReach(ZoneReach(20, 5, 8, 8), True, now))
        harness.resignation.consider(now)
    assert not harness.written and not harness.term.resigning


async def test_no_transaction_is_submitted_while_the_leader_resigns(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = ResignationHarness(monkeypatch)
    submitted: list[Any] = []
    monkeypatch.setattr(harness.leader.writer, "submit", submitted.append)
    harness.leader.dispatcher.dispatch = lambda now: None  # type: ignore[method-assign]
    claim = next(iter(harness.leader.scheduler.machines["m"].claims.values()))
    harness.leader.scheduler.end(claim, True, 0.2)
    harness.term.resigning = True
    harness.leader._advance(0.5)
    assert submitted == []
    harness.term.resigning = False
    harness.leader._advance(0.5)
    assert len(submitted) == 1
