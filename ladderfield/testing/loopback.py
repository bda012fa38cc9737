"""Ports, listeners and settings shared by the test clusters on loopback sockets."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from ladderfield.http import Server
from ladderfield.testing.samples import SETTINGS

ZONES = ("za", "zb", "zc")


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Unused ports of a loopback host."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


async def listen(address: str, server: Server) -> None:
    """Serve at an address forever."""
    host, _, port = address.rpartition(":")
    await trio.serve_listeners(server, await trio.open_tcp_listeners(int(port), host=host))


@dataclass(frozen=True)
class Addresses:
    """Addresses of all servers; ``api`` and ``peer`` have one entry for each controller."""

    api: list[str]
    peer: list[str]
    state: str
    cloud: str


@dataclass(frozen=True)
class WorkerTiming:
    """The workers' intervals in seconds, as in the settings."""

    report_s: float
    lease_s: float
    cancel_s: float


def raw_settings(number: int, addresses: Addresses, timing: WorkerTiming) -> dict[str, Any]:
    """Settings of one controller, which is located in the zone of its number."""
    cluster = msgspec.json.decode(msgspec.json.encode(SETTINGS["cluster"])) | {"zones": list(ZONES)}
    cluster["workers"] = {"report_s": timing.report_s, "lease_s": timing.lease_s, "cancel_s": timing.cancel_s}
    cluster["cloud"] = {"rps": 20.0, "list_lag_s": 0.5}
    cluster["state"] |= {"rps": 400.0, "write_rps": 100.0}
    peers = [
        {"member": f"n{other}", "location": zone, "endpoint": addresses.peer[other]}
        for other, zone in enumerate(ZONES)
        if other != number
    ]
    return {
        "member": f"n{number}", "location": ZONES[number], "bind": addresses.api[number],
        "back": addresses.peer[number], "peers": peers,
        "outside": {"state": addresses.state, "cloud": addresses.cloud}, "cluster": cluster,
    }  # fmt: skip
