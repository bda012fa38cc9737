"""Every scenario of cut links (``ladderfield/testing/link_cuts.py``) on a clock that jumps; some minutes a part.

python -m benchmarks.link_cuts --part 0 --parts 4
"""

from __future__ import annotations

import sys

import click
import pytest
import trio
import trio.testing

from ladderfield.testing.history import Fault
from ladderfield.testing.link_cuts import Scenario, further_scenarios, play, scenarios


def play_once(scenario: Scenario) -> list[Fault]:
    """One scenario; what was wrong with it, an exception included."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        try:
            return trio.run(play, monkeypatch, scenario, clock=clock)
        except Exception as error:
            return [Fault("error", repr(error))]


@click.command()
@click.option("--part", default=0, show_default=True)
@click.option("--parts", default=1, show_default=True)
@click.option("--further", is_flag=True, help="Those with leadership by reach, or a second controller that fails.")
def main(part: int, parts: int, further: bool) -> None:
    """Play a part of all scenarios and print those with faults."""
    chosen = list(further_scenarios() if further else scenarios())[part::parts]
    bad = 0
    for scenario in chosen:
        faults = play_once(scenario)
        bad += bool(faults)
        for fault in faults[:3]:
            click.echo(f"{scenario}: {fault.rule}: {fault.what}")
    click.echo(f"{len(chosen)} scenarios, {bad} with a fault")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
