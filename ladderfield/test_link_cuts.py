"""One or two links of a controller are blocked in one direction: no rule is broken, and all users are served later."""

from __future__ import annotations

import pytest
import trio

from ladderfield.testing.cluster import cluster
from ladderfield.testing.link_cuts import (
    LINKS,
    REPORT_S,
    Scenario,
    controller_host,
    further_scenarios,
    links_of,
    run_scenario,
    sample,
    scenarios,
)
from ladderfield.testing.network import Link

CI_SCENARIOS, CI_FURTHER_SCENARIOS = 10, 12
SEED, FURTHER_SEED = 25, 29


def test_the_scenarios_cover_every_link_alone_and_in_pairs() -> None:
    basic = list(scenarios())
    assert len(set(further_scenarios())) == len(list(further_scenarios())) == len(basic) + len(LINKS) * 12 * 4
    assert len(basic) == len(set(basic)) == (len(LINKS) + len(LINKS) * (len(LINKS) - 1) // 2) * 2 * 2 * 3


@pytest.mark.parametrize("scenario", sample(CI_SCENARIOS, SEED), ids=str)
async def test_a_cut_link_breaks_no_rule(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> None:
    assert await run_scenario(monkeypatch, scenario) == []


@pytest.mark.parametrize("scenario", sample(CI_FURTHER_SCENARIOS, FURTHER_SEED, further_scenarios()), ids=str)
async def test_a_cut_link_breaks_no_rule_with_another_controller_failing_or_leadership_by_reach(
    monkeypatch: pytest.MonkeyPatch, scenario: Scenario
) -> None:
    assert await run_scenario(monkeypatch, scenario) == []


@pytest.mark.parametrize("mode", ["silent", "refused"])
async def test_a_cut_blocks_one_direction_until_it_is_mended(monkeypatch: pytest.MonkeyPatch, mode: str) -> None:
    """A cut blocks one direction only, also on open connections, until the link is mended."""
    async with cluster(monkeypatch) as whole:
        first = whole.leader()
        epoch = whole.controllers[first].leadership.known_epoch()
        cuts = whole.net.silent if mode == "silent" else whole.net.refused
        cuts.update(links_of(whole, first, "state"))
        await trio.sleep(4 * REPORT_S)
        assert whole.leader() != first and not whole.controllers[first].reachability.state_ok
        assert whole.controllers[whole.leader()].leadership.known_epoch() > epoch
        assert all(
            controller.reachability.state_ok for number, controller in whole.controllers.items() if number != first
        )
        whole.net.heal()
        await trio.sleep(4 * REPORT_S)
        assert whole.controllers[first].reachability.state_ok


async def test_a_worker_cut_from_the_leader_in_one_direction_goes_on_reporting(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        await whole.submit(shape="daemon", rungs=1, owner="blue")
        worker = await whole.worker_running("req-000001")
        leader = whole.leader()
        whole.net.refused.update({Link(worker.address, controller_host(leader))})
        await trio.sleep(2 * REPORT_S)
        tick = worker.sequence
        whole.net.silent.update({Link(controller_host(leader), worker.address)})
        whole.net.refused.clear()
        await trio.sleep(2 * REPORT_S)
        assert worker.sequence > tick, "it goes on reporting, through other controllers"
        assert worker.active_tasks(), "and its task goes on"
