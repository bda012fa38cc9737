"""One link or two of one controller are blocked, in one direction: no rule breaks, and all is served afterwards."""

from __future__ import annotations

import pytest
import trio

from ladderfield.testing.cluster import cluster
from ladderfield.testing.link_cuts import (
    LINKS,
    REPORT_S,
    Scenario,
    address,
    blocked,
    further_scenarios,
    play,
    sample,
    scenarios,
)
from ladderfield.testing.network import Link

IN_CI, FURTHER_IN_CI = 10, 12
SEED, FURTHER_SEED = 25, 29


def test_the_scenarios_cover_every_link_alone_and_in_pairs() -> None:
    everything = list(scenarios())
    assert len(set(further_scenarios())) == len(list(further_scenarios())) == len(everything) + len(LINKS) * 12 * 4
    assert len(everything) == len(set(everything)) == (len(LINKS) + len(LINKS) * (len(LINKS) - 1) // 2) * 2 * 2 * 3


@pytest.mark.parametrize("scenario", sample(IN_CI, SEED), ids=str)
async def test_a_cut_link_breaks_no_rule(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> None:
    assert await play(monkeypatch, scenario) == []


@pytest.mark.parametrize("scenario", sample(FURTHER_IN_CI, FURTHER_SEED, further_scenarios()), ids=str)
async def test_a_cut_link_breaks_no_rule_while_another_controller_fails_or_leadership_goes_by_reach(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario
) -> None:
    assert await play(monkeypatch, scenario) == []


@pytest.mark.parametrize("mode", ["silent", "refused"])
async def test_a_cut_is_one(monkeypatch: pytest.MonkeyPatch, mode: str) -> None:
    """What is cut does not get through, in that direction only, on kept connections too; mended, it does again."""
    async with cluster(monkeypatch) as whole:
        first = whole.leader()
        epoch = whole.controllers[first].leadership.known_epoch()
        cuts = whole.net.silent if mode == "silent" else whole.net.refused
        cuts.update(blocked(whole, first, "state"))
        await trio.sleep(4 * REPORT_S)
        assert whole.leader() != first and not whole.controllers[first].reachability.state_ok
        assert whole.controllers[whole.leader()].leadership.known_epoch() > epoch
        assert all(one.reachability.state_ok for number, one in whole.controllers.items() if number != first)
        whole.net.mend()
        await trio.sleep(4 * REPORT_S)
        assert whole.controllers[first].reachability.state_ok


async def test_a_cut_of_reports_leaves_orders_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        await whole.submit(shape="daemon", rungs=1, owner="blue")
        worker = await whole.busy("req-000001")
        leader = whole.leader()
        whole.net.refused.update({Link(worker.address, address(leader))})
        await trio.sleep(2 * REPORT_S)
        ticks = worker.tick
        whole.net.silent.update({Link(address(leader), worker.address)})
        whole.net.refused.clear()
        await trio.sleep(2 * REPORT_S)
        assert worker.tick > ticks, "it goes on to report, by way of others"
        assert worker.on(), "and keeps what it runs"
