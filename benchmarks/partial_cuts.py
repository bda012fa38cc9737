"""Three real controllers on loopback whose links are cut one at a time; what they stop doing, and how soon.

    python -m benchmarks.partial_cuts --cut workers --rounds 3 --by-reach

The leader's link is cut, heals after a while, and is cut again in the next round, while users submit, cancel and ask.
The verdict is the history checker's. Lines of the controllers' logs that tell of a change are printed with it.
"""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path

import click
import trio
from ddsketch import DDSketch

from ladderfield.testing.history import Fault, faults
from ladderfield.testing.link_cuts import Users, runs
from ladderfield.testing.loopback import ZONES
from ladderfield.testing.loopback_links import PACE, LoopbackCluster, cuts, loopback_cluster

REPLICAS = 4
CUT_S, HEALED_S = 1.5 * PACE.lease_s, 1.5 * PACE.lease_s
LATE_START_S = 2 * PACE.report_s
ANSWERED_WITHIN_S = 60.0  # once all cuts have healed
ACCURACY = 0.02  # of a quantile, relatively
MEASURED = ("the resignation", "the next epoch", "the last start by the old one", "the next start by the next one")
TOLD = ("authority:", "resigns", "leader is", "no longer leader", "workers:", "link ")


class Measurement:
    """Seconds from each cut, over all rounds."""

    def __init__(self) -> None:
        self.sketches = {name: DDSketch(ACCURACY) for name in MEASURED}
        self.changes = 0

    def add(self, whole: LoopbackCluster, begun: float, before: int, until: float) -> None:
        """Take one cut in."""
        later = [at for at, epoch in whole.epochs if epoch > before and begun <= at <= until]
        starts = [(at, epoch) for at, epoch in whole.starts(begun) if at <= until]
        own = [at for at, epoch in starts if epoch == before]
        following = [at for at, epoch in starts if epoch > before]
        self.changes += bool(later)
        resigned = [at for at in whole.resignations if begun <= at <= until]
        for name, times in zip(MEASURED, (resigned, later, own[::-1] if later else [], following), strict=True):
            if times:
                self.sketches[name].add(times[0] - begun)

    def lines(self) -> list[str]:
        """A line for each."""
        result = []
        for name, sketch in self.sketches.items():
            if sketch.count:
                half, most = sketch.get_quantile_value(0.5), sketch.get_quantile_value(1.0)
                result.append(
                    f"from the cut to {name}: {sketch.count:.0f} times, half {half:.2f} s, longest {most:.2f} s"
                )
        return result


async def play(folder: Path, cut: str, rounds: int, by_reach: bool, pause: bool) -> tuple[list[Fault], list[str]]:
    """Cut one link of whoever is leader again and again; what was wrong, and what was measured."""
    flags = ["--leadership-by-reach"] if by_reach else []
    measurement = Measurement()
    async with loopback_cluster(folder, flags) as whole:
        users = Users(whole)
        service = await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
        arrays: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(users.look)
            nursery.start_soon(keep_submitting, users, arrays)
            await trio.sleep(HEALED_S)
            for _ in range(rounds):
                await cut_once(whole, cut, pause, measurement)
            nursery.cancel_scope.cancel()
        found = [Fault("not_served", uid) for uid in await unanswered(users, arrays)]
    found += faults(runs(whole.cloud.workers.values()), users.told, PACE.cancel_s, LATE_START_S)
    found += [Fault("unbacked", text) for text in whole.unbacked_starts()]
    interrupted = sum(name.startswith(service) for one in whole.cloud.workers.values() for _, name, _ in one.log)
    lines = [f"{rounds} cuts of {cut}, {measurement.changes} changes of leader, {len(arrays)} arrays, "
             f"{len(users.told)} answers; replicas started anew: {interrupted - REPLICAS}"]  # fmt: skip
    return found, lines + measurement.lines()


async def cut_once(whole: LoopbackCluster, cut: str, pause: bool, measurement: Measurement) -> None:
    """Cut the leader's link, and let it heal."""
    number = whole.leader()
    while number is None:
        await trio.sleep(PACE.report_s)
        number = whole.leader()
    epoch, begun = whole.epochs[-1][1], trio.current_time()
    links = cuts(number)[cut]
    whole.cut(links)
    await trio.sleep(CUT_S / 2)
    if pause:
        await pause_another(whole, number)
    await trio.sleep(CUT_S / 2)
    measurement.add(whole, begun, epoch, trio.current_time())
    whole.mend(links)
    await trio.sleep(HEALED_S)


async def unanswered(users: Users, arrays: list[str]) -> list[str]:
    """Arrays that have no final answer although all has healed."""
    left = list(arrays)
    with trio.move_on_after(ANSWERED_WITHIN_S):
        while left:
            left = [uid for uid in left if not await users.ended(uid)]
            await trio.sleep(PACE.report_s)
    return left


async def keep_submitting(users: Users, arrays: list[str]) -> None:
    """A small array every other report interval, and each eighth is called off."""
    while True:
        arrays.append(await users.submit(rungs=2, owner="blue"))
        if len(arrays) % 8 == 0:
            await users.cancel(arrays[-1])
        await trio.sleep(2 * PACE.report_s)


async def pause_another(whole: LoopbackCluster, cut: int) -> None:
    """Another controller stands still for longer than a leader's lease, and goes on."""
    holder = whole.leader()
    number = holder if holder not in (None, cut) else (cut + 1) % len(ZONES)
    assert number is not None
    whole.signal(number, signal.SIGSTOP)
    await trio.sleep(2 * PACE.report_s)
    whole.signal(number, signal.SIGCONT)


@click.command()
@click.option("--cut", type=click.Choice([*cuts(0), "all"]), default="all", show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--by-reach/--not-by-reach", default=True, show_default=True)
@click.option("--pause", is_flag=True, help="Another controller stands still amid each cut.")
@click.option("--log/--no-log", default=True, show_default=True, help="Print what the controllers say of it.")
def main(cut: str, rounds: int, by_reach: bool, pause: bool, log: bool) -> None:
    """Cut links and print what came of it; exit code 1 if a rule broke."""
    bad = 0
    for name in cuts(0) if cut == "all" else [cut]:
        with tempfile.TemporaryDirectory() as folder:
            found, lines = trio.run(play, Path(folder), name, rounds, by_reach, pause)
            if log:
                for path in sorted(Path(folder).glob("*.log")):
                    told = [line for line in path.read_text().splitlines() if any(word in line for word in TOLD)]
                    click.echo("\n".join(f"{path.stem}: {line}" for line in told))
        click.echo("\n".join(lines))
        click.echo(f"{len(found)} faults" + "".join(f"\n  {fault.rule}: {fault.what}" for fault in found[:5]))
        bad += bool(found)
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
