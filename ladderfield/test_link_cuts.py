"""One link or two of one controller are blocked, in one direction: no rule breaks, and all is served afterwards."""

from __future__ import annotations

import pytest

from ladderfield.testing.link_cuts import LINKS, Scenario, play, sample, scenarios

IN_CI = 10
SEED = 25


def test_the_scenarios_cover_every_link_alone_and_in_pairs() -> None:
    everything = list(scenarios())
    assert len(everything) == len(set(everything)) == (len(LINKS) + len(LINKS) * (len(LINKS) - 1) // 2) * 2 * 2 * 3


@pytest.mark.parametrize("scenario", sample(IN_CI, SEED), ids=str)
async def test_a_cut_link_breaks_no_rule(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> None:
    assert await play(monkeypatch, scenario) == []
