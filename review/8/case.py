"""The state service lowers its limits: jobs for machine types beyond one record are refused, or never run."""

from __future__ import annotations

import os
import sys
import traceback
from pathlib import Path

import trio
from standins_2.rig import Cloud, LimitedState, Rig, job

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {
    "stile-0": "columbia", "stile-1": "willamette", "stile-2": "puget", "stile-3": "columbia", "stile-4": "willamette",
}  # fmt: skip
BATCHES, EVERY_S, BACK_S = ((0, 1), (2, 3), (4,)), 10.0, 3.0  # "a few at a time"; node_roll has every_s = 10 and 15
NEXT = {"value_kb": 2.0, "txn_ops": 6, "write_rps": 18.0}  # as in kit/change/cascade-heatshare-next.toml
NAMES = (
    "alder", "cedar", "douglas", "fir", "hemlock", "juniper", "larch", "madrone", "oak", "pine", "redwood", "spruce",
    "tamarack", "yew",
)  # fmt: skip
LAST = NAMES[-1]
CLUSTER = {
    "size": 5, "zones": ["columbia", "puget", "willamette"],
    "teams": [{"name": "grid-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "finished", "class": "tariff-recalc", "within_s": 70.0, "share": 0.88}],
    "workers": {"report_s": 4.0, "lease_s": 28.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 53.0},
    "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    "quota": {"cores": 0.54, "ram_mb": 146.0, "max_connections": 1200}, "clock_off_ms": 25.0,
}  # fmt: skip
RUNS_WITHIN_S = 50.0  # how long the script watches for the accepted job; the same job on another type runs in seconds


def machine_type(name: str) -> dict[str, object]:
    """A machine type as the cloud describes it."""
    return {
        "name": name, "cores": 8, "cards": 0, "memoryGb": 16, "cacheGb": 60, "pullGbPerS": 0.12, "price": 0.26,
        "lowPrice": 0.07, "readyS": 40, "yards": ["columbia", "puget", "willamette"],
    }  # fmt: skip


async def upgrade(rig: Rig, state: LimitedState) -> None:
    """Restart all controllers, a few at a time, with settings that name the coming limits; then these hold."""
    for batch in BATCHES:
        for number in batch:
            rig.kill(number)
            if TROUBLE:
                rig.settings[number]["cluster"]["state"]["next"] = NEXT
        await trio.sleep(BACK_S)
        for number in batch:
            rig.start(number)
        rig.note("controllers", batch, "are restarted, state", rig.settings[batch[0]]["cluster"]["state"])
        await trio.sleep(EVERY_S - BACK_S)
    if TROUBLE:
        state.value_kb, state.txn_ops = NEXT["value_kb"], int(NEXT["txn_ops"])
        rig.note("the state service lowers its limits to", NEXT)


async def submit_two(rig: Rig) -> bool:
    """Submit a job for the last type and one for the first; whether one is told that it can never run."""
    refused = False
    for uid, name in (("req-000002", LAST), ("req-000003", NAMES[0])):
        status, answer = await rig.submit(job(uid, flavours=[name]))
        rig.note("submission of", uid, "for", name, "is answered", status, answer)
        refused = refused or status in (400, 422)
    return refused


async def watch(rig: Rig, cloud: Cloud, refused: bool) -> None:
    """Wait until all accepted jobs have started, or the time is over."""
    awaited = ["req-000001", "req-000003"] + ([] if refused else ["req-000002"])
    with trio.move_on_after(RUNS_WITHIN_S):
        while not all(cloud.started(uid) for uid in awaited):
            await trio.sleep(1.0)
    for uid in ("req-000001", "req-000002", "req-000003"):
        rig.note(uid, "phase", await rig.poll(uid) or "(unknown)", "started", cloud.started(uid))
    for line in rig.logged("is not recorded"):
        rig.note("log:", line)
    rig.note("requests for", LAST, "at the cloud:", cloud.asked.count(LAST))


async def play(rig: Rig) -> bool:
    """Play the case; whether the rule was broken."""
    state = LimitedState(16.0, 20)
    rig.nursery.start_soon(state.run)
    cloud = Cloud(rig, [machine_type(name) for name in NAMES], 4.0, 28.0)
    cloud.short.add(LAST)
    rig.configure(ZONES, CLUSTER, await rig.serve(state), await rig.serve(cloud))
    for number in range(5):
        rig.start(number)
    status, answer = await rig.submit(job("req-000001", flavours=[LAST]))
    rig.note("submission of req-000001 for", LAST, "is answered", status, answer)
    if status not in (200, 201):
        raise RuntimeError("the first job was not accepted")
    await trio.sleep(5.0)
    await upgrade(rig, state)
    cloud.short.clear()
    rig.note("the cloud has machines of every type")
    refused = await submit_two(rig)
    await watch(rig, cloud, refused)
    if not cloud.started("req-000003"):
        raise RuntimeError("the job for the first type did not run either")
    return refused or not cloud.started("req-000001")


async def main() -> int:
    """Run the case; the exit code."""
    async with trio.open_nursery() as nursery:
        rig = Rig(Path(__file__).resolve().parent, nursery)
        try:
            broken = await play(rig)
        finally:
            rig.stop()
            nursery.cancel_scope.cancel()
    rig.note("the rule was broken" if broken else "the rule held")
    return int(broken)


if __name__ == "__main__":
    try:
        code = trio.run(main)
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.exit(code)
