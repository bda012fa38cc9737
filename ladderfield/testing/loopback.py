"""What clusters over real sockets on loopback share: ports, listeners and settings."""

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
    """Ports on loopback that nobody listens on."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def listen(at: str, server: Server) -> None:
    """Serve at an address for ever."""
    host, _, port = at.rpartition(":")
    await trio.serve_listeners(server, await trio.open_tcp_listeners(int(port), host=host))


@dataclass(frozen=True)
class Addresses:
    """Where everything listens; one entry in ``front`` and ``back`` for each controller."""

    front: list[str]
    back: list[str]
    state: str
    cloud: str


@dataclass(frozen=True)
class Pace:
    """The workers' pace, in seconds."""

    report_s: float
    lease_s: float
    cancel_s: float


def raw_settings(number: int, addresses: Addresses, pace: Pace) -> dict[str, Any]:
    """One controller's settings: it stands in the zone of its number."""
    cluster = msgspec.json.decode(msgspec.json.encode(SETTINGS["cluster"])) | {"zones": list(ZONES)}
    cluster["workers"] = {"report_s": pace.report_s, "lease_s": pace.lease_s, "cancel_s": pace.cancel_s}
    cluster["cloud"] = {"rps": 20.0, "list_lag_s": 0.5}
    cluster["state"] |= {"rps": 400.0, "write_rps": 100.0}
    peers = [
        {"member": f"n{other}", "location": zone, "endpoint": addresses.back[other]}
        for other, zone in enumerate(ZONES)
        if other != number
    ]
    return {
        "member": f"n{number}", "location": ZONES[number], "bind": addresses.front[number],
        "back": addresses.back[number], "peers": peers,
        "outside": {"state": addresses.state, "cloud": addresses.cloud}, "cluster": cluster,
    }  # fmt: skip
