"""Runs every link failure scenario (``ladderfield/testing/link_cuts.py``) on a simulated clock; minutes per part.

python -m benchmarks.link_cuts --part 0 --parts 4
"""

from __future__ import annotations

import sys

import click
import pytest
import trio
import trio.testing

from ladderfield.testing.history import Violation
from ladderfield.testing.link_cuts import Scenario, further_scenarios, run_scenario, scenarios


def run_scenario_once(scenario: Scenario) -> list[Violation]:
    """Run one scenario; returns its violations, with an exception as one of them."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        try:
            return trio.run(run_scenario, monkeypatch, scenario, clock=clock)
        except Exception as error:
            return [Violation("error", repr(error))]


@click.command()
@click.option("--part", default=0, show_default=True)
@click.option("--parts", default=1, show_default=True)
@click.option(
    "--further", is_flag=True, help="Run the scenarios with leadership by reach or a second failed controller."
)
def main(part: int, parts: int, further: bool) -> None:
    """Run one part of all scenarios and print the violations."""
    chosen = list(further_scenarios() if further else scenarios())[part::parts]
    failed = 0
    for scenario in chosen:
        violations = run_scenario_once(scenario)
        failed += bool(violations)
        for violation in violations[:3]:
            click.echo(f"{scenario}: {violation.rule}: {violation.detail}")
    click.echo(f"{len(chosen)} scenarios, {failed} with violations")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
