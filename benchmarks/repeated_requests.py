"""Plays many seeds of the soak in which requests arrive once more (``ladderfield/testing/repeat_soak.py``).

    python -m benchmarks.repeated_requests --first 1 --last 200 --processes 4

Prints a line for each seed that breaks a rule or leaves a job waiting, and the counts at the end.
"""

from __future__ import annotations

import logging
import multiprocessing
import sys
from typing import NamedTuple

import click
import pytest
import trio
import trio.testing

from ladderfield.testing.repeat_soak import run_repeat_soak


class Verdict(NamedTuple):
    """The outcome of one seed; ``fault`` is empty if there is none."""

    seed: int
    repeated: int
    fault: str


def play(seed: int) -> Verdict:
    """Play one seed on a clock that jumps."""
    logging.disable(logging.CRITICAL)

    async def run() -> int:
        with pytest.MonkeyPatch.context() as monkeypatch:
            return await run_repeat_soak(monkeypatch, seed)

    try:
        return Verdict(seed, trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0)), "")
    except BaseExceptionGroup as group:
        return Verdict(seed, 0, " ".join(str(error) for error in _leaves(group)))


def _leaves(error: BaseException) -> list[BaseException]:
    """The errors in a group, at any depth."""
    if isinstance(error, BaseExceptionGroup):
        return [leaf for inner in error.exceptions for leaf in _leaves(inner)]
    return [error]


@click.command()
@click.option("--first", default=1, help="first seed")
@click.option("--last", default=200, help="last seed")
@click.option("--processes", default=4, help="how many run at once")
def main(first: int, last: int, processes: int) -> None:
    """Play the seeds from FIRST to LAST."""
    faults = repeated = 0
    with multiprocessing.Pool(processes, maxtasksperchild=8) as pool:
        for verdict in pool.imap_unordered(play, range(first, last + 1)):
            repeated += verdict.repeated
            if verdict.fault:
                faults += 1
                print(f"seed {verdict.seed}: {verdict.fault}", flush=True)
    print(f"{last - first + 1} seeds, {repeated} requests repeated, {faults} seeds with a fault")
    sys.exit(faults > 0)


if __name__ == "__main__":
    main()
