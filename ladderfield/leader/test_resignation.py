"""The steps of a resignation, one by one: each asks anew whether it is still right."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.connectivity.options import ReachOptions
from ladderfield.connectivity.reachability import Reachability
from ladderfield.connectivity.resignations import RESIGNATIONS
from ladderfield.connectivity.succession import PeerReach, Succession
from ladderfield.connectivity.worker_reach import Directions, ZoneReach
from ladderfield.leader.resignation import Resignation
from ladderfield.leadership import EPOCH
from ladderfield.rollout import REACH_EXCHANGE, Rollout
from ladderfield.state import Outcome, StateServiceError
from ladderfield.testing import settings
from ladderfield.testing.leader import claimed_leader

TENURE_S = 1.0


class Stage:
    """A leader that should resign, as long as ``healed`` is not called."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.leader = claimed_leader()
        self.term, self.client = self.leader.term, self.leader.client
        workers = settings().cluster.workers
        self.reachability = Reachability(workers.report_s, workers.lease_s, 100)
        self.reachability.cut = Directions(True, True)
        self.succession = Succession(ReachOptions(TENURE_S, 4.0), workers.report_s)
        rollout = Rollout(settings(), self.client, self.leader.view)
        rollout._everywhere = REACH_EXCHANGE
        self.resignation = Resignation(
            self.term, "n0", self.succession, self.reachability, rollout, self.leader.writer, self.client,
            self.leader.view,
        )  # fmt: skip
        self.written: list[tuple[dict[str, int], dict[str, Any]]] = []
        self.outcome: Outcome | None = Outcome(9, None)
        self.healed_by_record = False
        monkeypatch.setattr(self.client, "commit", self._commit)

    async def _commit(self, guards: dict[str, int], puts: dict[str, Any], *_: Any) -> Outcome:
        self.written.append((guards, puts))
        if self.healed_by_record:
            self.healed()
        if self.outcome is None:
            raise StateServiceError("no answer")
        return self.outcome

    def healed(self) -> None:
        """Workers reach us again."""
        self.reachability.cut = Directions()

    async def begin(self, nursery: trio.Nursery) -> None:
        """Let the tenure pass, and have the leader consider it."""
        self.resignation.nursery = nursery
        await trio.sleep(TENURE_S)
        self.term.renewed_at = self.term.known_at = now = trio.current_time()
        self.succession.heard("n1", PeerReach(ZoneReach(20, 5, 8, 8), True, now))
        self.resignation.consider(now)


async def test_it_is_on_record_before_the_term_ends_and_guarded_by_the_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
    ((guards, puts),) = stage.written
    assert guards == {EPOCH: stage.term.stamp, RESIGNATIONS: 0} and puts[RESIGNATIONS]["member"] == "n0"
    assert stage.term.over.is_set() and stage.term.released


async def test_the_write_under_way_is_answered_first(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    stage.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
        await trio.sleep(0.5)
        assert stage.term.resigning and not stage.term.over.is_set() and not stage.written
        stage.leader.writer.unanswered = False
    assert stage.term.over.is_set()


async def test_a_write_that_is_never_answered_keeps_it_in_office(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    stage.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
    assert not stage.term.over.is_set() and not stage.term.resigning and not stage.written


async def test_a_cut_that_heals_while_the_write_is_answered_leaves_no_trace(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    stage.leader.writer.unanswered = True
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
        await trio.sleep(0.5)
        stage.healed()
        stage.leader.writer.unanswered = False
    assert not stage.term.over.is_set() and not stage.term.resigning and not stage.written


async def test_a_cut_that_heals_while_it_is_put_on_record_keeps_it_in_office(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    stage.healed_by_record = True
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
    assert stage.written and not stage.term.over.is_set() and not stage.term.resigning


@pytest.mark.parametrize("outcome", [None, Outcome(9, [EPOCH])])
async def test_without_the_record_it_stays(monkeypatch: pytest.MonkeyPatch, outcome: Outcome | None) -> None:
    stage = Stage(monkeypatch)
    stage.outcome = outcome
    async with trio.open_nursery() as nursery:
        await stage.begin(nursery)
    assert not stage.term.over.is_set() and not stage.term.resigning


async def test_a_leader_whose_lease_may_be_over_does_not_begin(monkeypatch: pytest.MonkeyPatch) -> None:
    """It stood still, or the state service is lost: its release might come after another's election."""
    stage = Stage(monkeypatch)
    async with trio.open_nursery() as nursery:
        stage.resignation.nursery = nursery
        await trio.sleep(TENURE_S + stage.term.ttl)
        now = trio.current_time()
        stage.succession.heard("n1", PeerReach(ZoneReach(20, 5, 8, 8), True, now))
        stage.resignation.consider(now)
    assert not stage.written and not stage.term.resigning


async def test_while_it_resigns_nothing_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage(monkeypatch)
    submitted: list[Any] = []
    monkeypatch.setattr(stage.leader.writer, "submit", submitted.append)
    stage.leader.dispatcher.dispatch = lambda now: None  # type: ignore[method-assign]
    claim = next(iter(stage.leader.scheduler.machines["m"].claims.values()))
    stage.leader.scheduler.end(claim, True, 0.2)
    stage.term.resigning = True
    stage.leader._advance(0.5)
    assert submitted == []
    stage.term.resigning = False
    stage.leader._advance(0.5)
    assert len(submitted) == 1
