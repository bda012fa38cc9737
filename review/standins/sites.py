"""Settings of the users' deployments, as their pages state them."""

from __future__ import annotations

from typing import Any

CASCADE: dict[str, Any] = {
    "names": ["stile-0", "stile-1", "stile-2"],
    "locations": ["columbia", "willamette", "puget"],
    "types": [
        {"name": "alder", "cores": 8, "cards": 0, "memoryGb": 16, "cacheGb": 50, "pullGbPerS": 0.6, "price": 0.26,
         "lowPrice": 0.07, "readyS": 40, "yards": ["willamette", "puget"]},
    ],
    "cluster": {
        "size": 3,
        "zones": ["columbia", "puget", "willamette"],
        "teams": [{"name": "grid-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [
            {"kind": "wait", "class": "member-portal", "within_s": 6.0, "share": 0.85},
            {"kind": "finished", "class": "tariff-recalc", "within_s": 70.0, "share": 0.88},
            {"kind": "finished", "class": "tariff-recalc", "within_s": 150.0, "share": 0.96},
            {"kind": "deadline", "class": "meter-backfill", "share": 0.88, "times": 1.0},
        ],
        "workers": {"report_s": 3.0, "lease_s": 28.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 53.0},
        "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
        "cloud": {"rps": 3.0, "list_lag_s": 4.0},
        "quota": {"cores": 0.54, "ram_mb": 146.0, "max_connections": 1200},
        "clock_off_ms": 25.0,
    },
}  # fmt: skip

# As CASCADE, with five controllers; its pages are in kit/change.
CASCADE_NEXT: dict[str, Any] = CASCADE | {
    "names": ["stile-0", "stile-1", "stile-2", "stile-3", "stile-4"],
    "locations": ["columbia", "willamette", "puget", "columbia", "willamette"],
    "cluster": CASCADE["cluster"] | {"size": 5, "workers": CASCADE["cluster"]["workers"] | {"report_s": 4.0}},
}

DAFTAR: dict[str, Any] = {
    "names": ["stile-0", "stile-1", "stile-2"],
    "locations": ["klang", "klang", "klang"],
    "types": [
        {"name": "kancil", "cores": 4, "cards": 0, "memoryGb": 16, "cacheGb": 40, "pullGbPerS": 1.0, "price": 0.24,
         "lowPrice": 0.1, "readyS": 15, "yards": ["klang"]},
    ],
    "cluster": {
        "size": 3,
        "zones": ["klang"],
        "teams": [
            {"name": "register-desk", "cpus": 48.0, "cpus_max": 152.0},
            {"name": "outlet-support", "cpus": 48.0, "cpus_max": 152.0},
            {"name": "legal-compliance", "cpus": 24.0, "cpus_max": 64.0},
            {"name": "finance-royalty", "cpus": 32.0, "cpus_max": 72.0},
        ],
        "objectives": [
            {"kind": "wait", "class": "register-lookup", "within_s": 25.0, "share": 0.82},
            {"kind": "deadline", "class": "state-reconcile", "share": 0.92, "times": 1.0},
            {"kind": "deadline", "class": "state-reconcile", "share": 0.94, "times": 1.5},
        ],
        "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 32.0},
        "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "quota": {"cores": 0.432, "ram_mb": 186.0, "max_connections": 1500},
        "clock_off_ms": 25.0,
    },
}  # fmt: skip


def recalc(uid: str, **changes: Any) -> dict[str, Any]:
    """A job of `tariff-recalc`."""
    base = {
        "uid": uid, "jobclass": "tariff-recalc", "owner": "grid-desk", "shape": "array", "rank": "standard",
        "rungs": 2, "cores": 2.0, "cards": 0.0, "memoryGb": 3.1, "bundle": "img-07", "sizeGb": 0.9, "flavours": None,
        "yard": None, "oneZone": False, "spread": False, "loaners": True, "expectS": 30.0, "markEveryS": 0.0,
        "markCostS": 0.0, "dueS": None,
    }  # fmt: skip
    return base | changes


def portal(uid: str, **changes: Any) -> dict[str, Any]:
    """A job of `member-portal`."""
    return recalc(
        uid, jobclass="member-portal", shape="daemon", rank="production", rungs=1, cores=4.0, memoryGb=6.1,
        bundle="img-01", sizeGb=2.0, loaners=False, expectS=0.0,
    ) | changes  # fmt: skip


def reconcile(uid: str, **changes: Any) -> dict[str, Any]:
    """A job of `state-reconcile`."""
    return recalc(
        uid, jobclass="state-reconcile", owner="register-desk", memoryGb=5.1, sizeGb=1.2, bundle="img-11", dueS=300.0,
    ) | changes  # fmt: skip
