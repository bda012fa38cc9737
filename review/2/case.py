"""The leader crashes while the answers to transactions are lost; users submit and cancel on. Then all is well again."""

from __future__ import annotations

import itertools
import os
import random

import trio
from standins.cluster import Cluster, run_case
from standins.sites import DAFTAR, reconcile

from ladderfield.http import Reply, Request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOST_S = float(os.environ.get("LOST_S", "32"))
SHARE = float(os.environ.get("SHARE", "1"))
BACK_S = 5.0
FORGOTTEN_S = 75.0
FIRST = "req-000001"


def outcome(rung: str) -> tuple[float, str]:
    """Run time and end of a task."""
    return 3.0, "done"


class LosingState:
    """Passes calls to the state service; while ``losing``, transactions are carried out but not answered."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.losing, self.lost = cluster, False, 0

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        reply = await self.cluster.state(request)
        if self.losing and request.path == "/multi" and random.random() < SHARE:
            self.lost += 1
            await trio.sleep_forever()
        return reply


class Users:
    """One-task jobs come four a second, a quarter of them cancelled."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.random = cluster, random.Random(seed)
        self.accepted: list[str] = []

    async def run(self) -> None:
        """Submit jobs, forever."""
        for number in itertools.count(100):
            self.cluster.nursery.start_soon(self.job, f"req-{number:06d}")
            await trio.sleep(0.25)

    async def job(self, uid: str) -> None:
        """One user: retries a submission for up to 60 s, and may cancel at once."""
        with trio.move_on_after(60.0):
            while True:
                name = self.random.choice(self.cluster.names)
                status, _ = await self.cluster.call(name, "POST", "/api/jobs", reconcile(uid, rungs=1), 5.0)
                if status in (200, 201):
                    self.cluster.note(f"user: {uid} accepted by {name}")
                    self.accepted.append(uid)
                    break
                await trio.sleep(1.0)
            if self.random.random() < 0.25:
                while (await self.cluster.call(name, "POST", f"/api/jobs/{uid}/cancel", None, 5.0))[0] != 200:
                    await trio.sleep(1.0)


def leader(cluster: Cluster) -> str:
    """The leader on record."""
    return str(cluster.state.keys["lf/foreman"][0]["member"])


async def play(cluster: Cluster) -> int:
    """The course of events; the exit code."""
    losing = LosingState(cluster)
    cluster.nursery.start_soon(cluster.serve, cluster.state_at, losing)
    cluster.nursery.start_soon(cluster.state.expire)
    cluster.nursery.start_soon(cluster.serve, cluster.cloud_at, cluster.cloud)
    for name in cluster.names:
        cluster.start(name)
    if not await cluster.ready(15.0) or not await cluster.submit(reconcile(FIRST, rungs=1)):
        return 2
    users = Users(cluster, 1)
    cluster.nursery.start_soon(users.run)
    await trio.sleep(3.0)
    if TROUBLE:
        name = leader(cluster)
        losing.losing = True
        cluster.kill(name)
        await trio.sleep(BACK_S)
        cluster.start(name)
        await trio.sleep(LOST_S - BACK_S)
        losing.losing = False
        cluster.note(f"network: answers arrive again, {losing.lost} were lost")
    over = trio.current_time()
    answered: dict[str, float] = {}
    with trio.move_on_at(over + FORGOTTEN_S):
        while True:
            for name in cluster.names:
                status, _ = await cluster.poll(FIRST, name)
                if status in (200, 404):
                    answered.setdefault(name, trio.current_time() - over)
                if users.accepted:
                    await cluster.poll(users.accepted[-1], name)
            ready = [name for name in cluster.names if (await cluster.call(name, "GET", "/ready", None, 1.0))[0] == 200]
            cluster.note(f"load balancer: ready are {ready}")
            await trio.sleep(4.0)
    for name, after in answered.items():
        cluster.note(f"{FIRST}: first answer of {name} after {after:.1f} s")
    if not answered:
        cluster.note(f"{FIRST}: no question was answered for {FORGOTTEN_S:.0f} s after all troubles: forgotten")
    return 0 if answered else 1


if __name__ == "__main__":
    run_case(__file__, DAFTAR, outcome, 20, play)
