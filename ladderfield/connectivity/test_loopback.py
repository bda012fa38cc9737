"""A leader that loses its workers, with real processes and sockets.

Only order and verdicts are asserted, since the clock is real and the machine may be slow.
"""

from __future__ import annotations

from pathlib import Path

import trio

from ladderfield.testing.history import Fault, faults
from ladderfield.testing.link_cuts import Users, runs
from ladderfield.testing.loopback_links import PACE, cuts, loopback_cluster

REPLICAS = 4
WITHIN_S = 60.0
FLAGS = ["--leadership-by-reach", "--minimum-tenure", "1"]


async def cut_workers(folder: Path) -> tuple[list[Fault], list[str]]:
    """Cut the leader off from all workers until another has started work; the faults, and the old leader's log."""
    async with loopback_cluster(folder, FLAGS) as whole:
        users = Users(whole)
        with trio.fail_after(WITHIN_S):
            await users.submit(shape="daemon", rungs=REPLICAS, cores=4.0, owner="blue")
            while len(whole.starts(0.0)) < REPLICAS:
                await trio.sleep(PACE.report_s)
            first, epoch = whole.leader(), whole.epochs[-1][1]
            assert first is not None
            await trio.sleep(PACE.lease_s)
            whole.cut(cuts(first)["workers"])
            begun = trio.current_time()
            while not any(started_by > epoch for _, started_by in whole.starts(begun)):
                await users.submit(rungs=2, owner="blue")
                await trio.sleep(PACE.report_s)
            whole.mend(cuts(first)["workers"])
            for uid in [uid for uid in whole.jobs if whole.jobs[uid]["shape"] == "array"]:
                while not await users.ended(uid):
                    await trio.sleep(PACE.report_s)
        found = faults(runs(whole.cloud.workers.values()), users.told, PACE.cancel_s, 2 * PACE.report_s)
        found += [Fault("unbacked", text) for text in whole.unbacked_starts()]
        return found, whole.log(first).read_text().splitlines()


def test_a_leader_that_loses_its_workers_resigns_and_every_job_has_one_final_answer(tmp_path: Path) -> None:
    found, log = trio.run(cut_workers, tmp_path)
    assert found == []
    steps = ("authority: without workers", "resigns, as", "no longer leader: resigned")
    lines = [next(number for number, line in enumerate(log) if step in line) for step in steps]
    assert lines == sorted(lines), "in that order"
