"""A leader that loses its workers, with real processes and sockets.

Only order and verdicts are asserted, since the clock is real and the machine may be slow.
"""

from __future__ import annotations

from pathlib import Path

import trio

from ladderfield.testing.history import Violation, find_violations
from ladderfield.testing.link_cuts import Users, task_runs
from ladderfield.testing.loopback_links import TIMING, links_by_name, loopback_cluster

REPLICAS = 4
WITHIN_S = 60.0
FLAGS = ["--leadership-by-reach", "--minimum-tenure", "1"]


async def cut_workers(folder: Path) -> tuple[list[Violation], list[str]]:
    """Cut the leader off from all workers until another has started work; the faults, and the old leader's log."""
    async with loopback_cluster(folder, FLAGS) as whole:
        users = Users(whole)
        with trio.fail_after(WITHIN_S):
            await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
            while len(whole.starts(0.0)) < REPLICAS:
                await trio.sleep(TIMING.report_s)
            first, epoch = whole.leader(), whole.epochs[-1][1]
            assert first is not None
            await trio.sleep(TIMING.lease_s)
            whole.cut(links_by_name(first)["workers"])
            begun = trio.current_time()
            while not any(started_by > epoch for _, started_by in whole.starts(begun)):
                await users.submit(rungs=2, owner="blue")
                await trio.sleep(TIMING.report_s)
            whole.heal(links_by_name(first)["workers"])
            for uid in [uid for uid in whole.jobs if whole.jobs[uid]["shape"] == "array"]:
                while not await users.is_final(uid):
                    await trio.sleep(TIMING.report_s)
        found = find_violations(
            task_runs(whole.cloud.workers.values()), users.answers, TIMING.cancel_s, 2 * TIMING.report_s
        )
        found += [Violation("unbacked", text) for text in whole.starts_after_epoch_end()]
        return found, whole.log_path(first).read_text().splitlines()


def test_a_leader_that_loses_its_workers_resigns_and_every_job_has_one_final_answer(tmp_path: Path) -> None:
    found, log = trio.run(cut_workers, tmp_path)
    assert found == []
    steps = ("authority: without workers", "resigns, as", "no longer leader: resigned")
    lines = [next(number for number, line in enumerate(log) if step in line) for step in steps]
    assert lines == sorted(lines), "in that order"
