"""Cuts one link of the leader among three real controllers on loopback, and measures the time to each reaction.

    python -m benchmarks.partial_cuts --cut workers --rounds 3 --by-reach

The leader's link is cut, heals after a while, and is cut again in the next round, while users submit, cancel and poll.
The history checker decides whether a rule was violated. The controllers' log lines about leadership and links are
printed as well.
"""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path

import click
import trio
from ddsketch import DDSketch

from ladderfield.testing.history import Violation, find_violations
from ladderfield.testing.link_cuts import Users, task_runs
from ladderfield.testing.loopback import ZONES
from ladderfield.testing.loopback_links import TIMING, LoopbackCluster, links_by_name, loopback_cluster

REPLICAS = 4
CUT_S, HEALED_S = 1.5 * TIMING.lease_s, 1.5 * TIMING.lease_s
LATE_START_S = 2 * TIMING.report_s
ANSWERED_WITHIN_S = 60.0  # after all cuts have healed
RELATIVE_ACCURACY = 0.02  # of the quantiles
EVENTS = ("the resignation", "the next epoch", "the old leader's last start", "the next leader's first start")
LOG_MARKERS = ("authority:", "resigns", "leader is", "no longer leader", "workers:", "link ")


class Measurement:
    """Seconds from each cut to each of ``EVENTS``, over all rounds."""

    def __init__(self) -> None:
        self.sketches = {name: DDSketch(RELATIVE_ACCURACY) for name in EVENTS}
        self.changes = 0

    def add(self, cluster: LoopbackCluster, cut_at: float, old_epoch: int, ended_at: float) -> None:
        """Add the events of one cut."""
        later_epochs = [at for at, epoch in cluster.epochs if epoch > old_epoch and cut_at <= at <= ended_at]
        starts = [(at, epoch) for at, epoch in cluster.starts(cut_at) if at <= ended_at]
        own = [at for at, epoch in starts if epoch == old_epoch]
        following = [at for at, epoch in starts if epoch > old_epoch]
        self.changes += bool(later_epochs)
        resigned = [at for at in cluster.resignations if cut_at <= at <= ended_at]
        for name, times in zip(
            EVENTS, (resigned, later_epochs, own[::-1] if later_epochs else [], following), strict=True
        ):
            if times:
                self.sketches[name].add(times[0] - cut_at)

    def lines(self) -> list[str]:
        """One line for each event that occurred."""
        result = []
        for name, sketch in self.sketches.items():
            if sketch.count:
                median_s, max_s = sketch.get_quantile_value(0.5), sketch.get_quantile_value(1.0)
                result.append(
                    f"from the cut to {name}: {sketch.count:.0f} times, median {median_s:.2f} s, longest {max_s:.2f} s"
                )
        return result


async def run_rounds(
    folder: Path, cut: str, rounds: int, by_reach: bool, pause: bool
) -> tuple[list[Violation], list[str]]:
    """Cut one link of the current leader in every round; returns violations and result lines."""
    flags = ["--leadership-by-reach"] if by_reach else []
    measurement = Measurement()
    async with loopback_cluster(folder, flags) as cluster:
        users = Users(cluster)
        service = await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
        arrays: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(users.poll_jobs)
            nursery.start_soon(keep_submitting, users, arrays)
            await trio.sleep(HEALED_S)
            for _ in range(rounds):
                await cut_once(cluster, cut, pause, measurement)
            nursery.cancel_scope.cancel()
        found = [Violation("not_served", uid) for uid in await unanswered(users, arrays)]
    found += find_violations(task_runs(cluster.cloud.workers.values()), users.answers, TIMING.cancel_s, LATE_START_S)
    found += [Violation("unbacked", text) for text in cluster.starts_after_epoch_end()]
    service_starts = sum(
        name.startswith(service) for worker in cluster.cloud.workers.values() for _, name, _ in worker.started
    )
    lines = [f"{rounds} cuts of {cut}, {measurement.changes} changes of leader, {len(arrays)} arrays, "
             f"{len(users.answers)} answers; restarted replicas: {service_starts - REPLICAS}"]  # fmt: skip
    return found, lines + measurement.lines()


async def cut_once(cluster: LoopbackCluster, cut: str, pause: bool, measurement: Measurement) -> None:
    """Cut the leader's link, and let it heal."""
    number = cluster.leader()
    while number is None:
        await trio.sleep(TIMING.report_s)
        number = cluster.leader()
    epoch, cut_at = cluster.epochs[-1][1], trio.current_time()
    links = links_by_name(number)[cut]
    cluster.cut(links)
    await trio.sleep(CUT_S / 2)
    if pause:
        await pause_another(cluster, number)
    await trio.sleep(CUT_S / 2)
    measurement.add(cluster, cut_at, epoch, trio.current_time())
    cluster.heal(links)
    await trio.sleep(HEALED_S)


async def unanswered(users: Users, arrays: list[str]) -> list[str]:
    """Arrays without a final phase after all links have healed."""
    remaining = list(arrays)
    with trio.move_on_after(ANSWERED_WITHIN_S):
        while remaining:
            remaining = [uid for uid in remaining if not await users.is_final(uid)]
            await trio.sleep(TIMING.report_s)
    return remaining


async def keep_submitting(users: Users, arrays: list[str]) -> None:
    """Submit a small array every other report interval, and cancel every eighth."""
    while True:
        arrays.append(await users.submit(rungs=2, owner="blue"))
        if len(arrays) % 8 == 0:
            await users.cancel(arrays[-1])
        await trio.sleep(2 * TIMING.report_s)


async def pause_another(cluster: LoopbackCluster, cut: int) -> None:
    """Stop another controller's process for longer than a leader's lease, then resume it."""
    leader = cluster.leader()
    number = leader if leader not in (None, cut) else (cut + 1) % len(ZONES)
    assert number is not None
    cluster.signal(number, signal.SIGSTOP)
    await trio.sleep(2 * TIMING.report_s)
    cluster.signal(number, signal.SIGCONT)


@click.command()
@click.option("--cut", type=click.Choice([*links_by_name(0), "all"]), default="all", show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--by-reach/--not-by-reach", default=True, show_default=True)
@click.option("--pause", is_flag=True, help="Pause another controller during each cut.")
@click.option("--log/--no-log", default=True, show_default=True, help="Print the controllers' log lines about changes.")
def main(cut: str, rounds: int, by_reach: bool, pause: bool, log: bool) -> None:
    """Cut links and print the results; the exit code is 1 after a violation."""
    failed = 0
    for name in links_by_name(0) if cut == "all" else [cut]:
        with tempfile.TemporaryDirectory() as folder:
            found, lines = trio.run(run_rounds, Path(folder), name, rounds, by_reach, pause)
            if log:
                for path in sorted(Path(folder).glob("*.log")):
                    matching = [
                        line for line in path.read_text().splitlines() if any(marker in line for marker in LOG_MARKERS)
                    ]
                    click.echo("\n".join(f"{path.stem}: {line}" for line in matching))
        click.echo("\n".join(lines))
        click.echo(
            f"{len(found)} violations" + "".join(f"\n  {violation.rule}: {violation.detail}" for violation in found[:5])
        )
        failed += bool(found)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
