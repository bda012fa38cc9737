"""Sample settings, machine types and jobs for the tests."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.settings import Settings

SETTINGS: dict[str, Any] = {
    "member": "n0",
    "location": "za",
    "bind": "10.0.0.1:80",
    "back": "10.0.0.1:81",
    "peers": [
        {"member": "n1", "location": "zb", "endpoint": "10.0.0.2:81"},
        {"member": "n2", "location": "za", "endpoint": "10.0.0.3:81"},
    ],
    "outside": {"cloud": "10.2.0.2:84", "state": "10.2.0.1:23"},
    "cluster": {
        "size": 3,
        "zones": ["za", "zb"],
        "teams": [{"name": "red", "cpus": 8, "cpus_max": 16}, {"name": "blue"}],
        "objectives": [],
        "workers": {"report_s": 2.0, "lease_s": 12.0, "cancel_s": 30.0},
        "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 5.0, "list_lag_s": 4.0},
        "quota": {"cores": 0.5, "ram_mb": 146.0, "max_connections": 1200},
    },
}
TYPES = [
    {"name": "m4", "cores": 4, "cards": 0, "memoryGb": 16, "cacheGb": 50, "pullGbPerS": 1.0, "price": 0.2,
     "lowPrice": 0.1, "readyS": 10, "yards": ["za", "zb"]},
]  # fmt: skip
REPORT: dict[str, Any] = {
    "host": "i-1", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
    "tenure": 1, "tick": 1, "epoch": 0, "rungs": [],
}  # fmt: skip


def settings(member: int = 0) -> Settings:
    """Settings of one of three controllers."""
    hosts = {f"n{number}": f"10.0.0.{number + 1}" for number in range(3)}
    own_host = hosts.pop(f"n{member}")
    raw = SETTINGS | {"member": f"n{member}", "bind": f"{own_host}:80", "back": f"{own_host}:81"}
    zones = {"n0": "za", "n1": "zb", "n2": "za"}
    raw["peers"] = [{"member": name, "location": zones[name], "endpoint": f"{host}:81"} for name, host in hosts.items()]
    return msgspec.convert(raw, Settings)


def job(uid: str = "req-000001", **changes: Any) -> dict[str, Any]:
    """A job as a user submits it."""
    base = {
        "uid": uid, "jobclass": "batch", "owner": "red", "shape": "array", "rank": "standard", "rungs": 2,
        "cores": 2.0, "cards": 0.0, "memoryGb": 4.0, "bundle": "img-1", "sizeGb": 1.0, "flavours": None,
        "yard": None, "oneZone": False, "spread": False, "loaners": True, "expectS": 5.0, "markEveryS": 0.0,
        "markCostS": 0.0, "dueS": None,
    }  # fmt: skip
    return base | changes


def accepted(*specs: dict[str, Any], at: float = 990.0) -> dict[str, Any]:
    """The state service's record of these accepted jobs."""
    return {"jobs": {spec["uid"]: {"spec": spec, "at": at, "block": 256} for spec in specs}}
