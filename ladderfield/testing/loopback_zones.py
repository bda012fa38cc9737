"""Three controllers, a state service, a cloud and three zones of workers over real sockets; one zone flaps."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Server
from ladderfield.server import serve
from ladderfield.settings import Settings
from ladderfield.testing.cloud_service import CloudService
from ladderfield.testing.loopback import ZONES, Addresses, Pace, free_ports, listen, raw_settings
from ladderfield.testing.network import Network
from ladderfield.testing.samples import TYPES, job
from ladderfield.testing.state_service import StateService
from ladderfield.testing.worker import Worker
from ladderfield.zones.health import MAX_HOLD_S
from ladderfield.zones.options import ZoneOptions

REPORT_S, LEASE_S, CANCEL_S = 0.4, 2.0, 8.0
FETCH_S, RUN_S = 0.3, 0.6
REPLICAS = 3
PORTAL, RECALC = "req-000001", "req-000002"
WITHIN_S = MAX_HOLD_S + 30.0  # after many failures batch is held for as long as it may be
ATTEMPTS = 100


@dataclass
class Outage:
    """One absence of the zone, and what ran there after it."""

    back_at: float
    missing: int  # replicas that were not running when it came back
    restored_at: float | None = None


@dataclass
class Stage:
    """The whole cluster."""

    nursery: trio.Nursery
    options: ZoneOptions | None
    ports: list[int] = field(default_factory=lambda: free_ports(8))
    cut_zones: set[str] = field(default_factory=set)
    specs: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start everything."""
        self.net = Network(self.nursery)
        self.cloud = CloudService(self._boot)
        self.cloud.types = [TYPES[0] | {"yards": list(ZONES), "readyS": 60}]
        self.cloud.capacity = 15
        state = StateService()
        self.nursery.start_soon(state.run)
        for port, handler in ((self.ports[6], state), (self.ports[7], self.cloud)):
            self.nursery.start_soon(listen, f"127.0.0.1:{port}", Server(handler, 200, 5.0, 60.0))
        for number in range(len(ZONES)):
            self.nursery.start_soon(serve, self._settings(number), self.options)

    def _settings(self, number: int) -> Settings:
        """One controller's settings."""
        at = [f"127.0.0.1:{port}" for port in self.ports]
        addresses = Addresses(at[:3], at[3:6], at[6], at[7])
        return msgspec.convert(raw_settings(number, addresses, Pace(REPORT_S, LEASE_S, CANCEL_S)), Settings)

    def _boot(self, host: str, hire: dict[str, Any]) -> Worker:
        """A rented machine is up at once; in a zone that is cut off it can't be reached."""
        (port,) = free_ports(1)
        controllers = [f"127.0.0.1:{self.ports[number]}" for number in range(len(ZONES))]
        worker = Worker(host, f"127.0.0.1:{port}", self.net, controllers, yard=hire["yard"], loaners=hire["loaners"])
        worker.about["endpoint"] = worker.address
        worker.run_s, worker.lease_s, worker.pace_s, worker.fetch_s = RUN_S, LEASE_S, REPORT_S / 3, FETCH_S
        worker.endless = lambda uid: self.specs[uid]["shape"] == "daemon"
        if hire["yard"] in self.cut_zones:
            self.net.cut.add(worker.address)
        self.nursery.start_soon(listen, worker.address, Server(worker, 20, 5.0, 60.0))
        self.nursery.start_soon(worker.run)
        return worker

    async def submit(self, uid: str, **changes: Any) -> None:
        """Submit a job that has to be accepted."""
        self.specs[uid] = job(uid, **{"owner": "blue", "loaners": False} | changes)
        client = Client("127.0.0.1", self.ports[0], max_idle=0)
        for _ in range(ATTEMPTS):
            try:
                status, _ = await client.call("POST", "/api/jobs", self.specs[uid], 2.0)
            except NoAnswerError:
                status = 0
            if status in (200, 201):
                return
            await trio.sleep(0.2)
        raise AssertionError(f"{uid} is not accepted")

    def cut(self, zone: str) -> None:
        """A zone's workers are silent from now on."""
        self.cut_zones.add(zone)
        self.net.cut.update(worker.address for worker in self.in_zone(zone))

    def mend(self, zone: str) -> None:
        """They are back."""
        self.cut_zones.discard(zone)
        self.net.cut.difference_update(worker.address for worker in self.in_zone(zone))

    def in_zone(self, zone: str) -> list[Worker]:
        """Workers of a zone that exist."""
        return [worker for worker in self.cloud.workers.values() if worker.about["yard"] == zone and not worker.dead]

    def replicas(self, zone: str) -> int:
        """Replicas of the portal that run in a zone."""
        phases = [
            rung["phase"]
            for worker in self.in_zone(zone)
            if worker.on()
            for name, rung in worker.rungs.items()
            if name.startswith(PORTAL)
        ]
        return phases.count("running")

    async def until(self, replicas: int, zone: str) -> float:
        """Wait until so many replicas run; when they did."""
        with trio.fail_after(WITHIN_S):
            while self.replicas(zone) < replicas:
                await trio.sleep(REPORT_S / 10)
        return trio.current_time()

    def batch_starts(self, zone: str) -> list[float]:
        """When batch tasks were begun in a zone: their launch, before any fetch."""
        workers = [worker for worker in self.cloud.workers.values() if worker.about["yard"] == zone]
        return [at for worker in workers for at, name, _ in worker.log if name.startswith(RECALC)]


async def flap(options: ZoneOptions | None, flaps: int) -> tuple[list[Outage], list[float]]:
    """A service that may run in one zone only, batch work for all, and that zone lost again and again."""
    outages: list[Outage] = []
    async with trio.open_nursery() as nursery:
        stage = Stage(nursery, options)
        await stage.submit(
            PORTAL, shape="daemon", rank="production", rungs=REPLICAS, yard="zc", expectS=0.0, memoryGb=9.0
        )
        await stage.until(REPLICAS, "zc")
        await stage.submit(RECALC, rungs=4000, cores=1.0, memoryGb=1.0, expectS=RUN_S, bundle="img-batch")
        with trio.fail_after(WITHIN_S):
            while not stage.batch_starts("zc"):
                await trio.sleep(REPORT_S)
        for number in range(flaps):
            stage.cut("zc")
            await trio.sleep(2 * LEASE_S + number % 4 * REPORT_S)
            stage.mend("zc")
            outage = Outage(trio.current_time(), REPLICAS - stage.replicas("zc"))
            outages.append(outage)
            if number % 3 == 1:
                await trio.sleep(REPORT_S)  # it fails again amid its return
            else:
                outage.restored_at = await stage.until(REPLICAS, "zc")
        with trio.fail_after(WITHIN_S):
            while max(stage.batch_starts("zc")) < trio.current_time() - 2 * REPORT_S:
                await trio.sleep(REPORT_S)
        starts = stage.batch_starts("zc")
        nursery.cancel_scope.cancel()
    return outages, starts


def batch_before_service(outages: list[Outage], starts: list[float]) -> list[list[float]]:
    """For each return, how long after it each batch task was begun there that came before the service ran."""
    result = []
    for number, outage in enumerate(outages):
        restored = outage.restored_at or outages[number + 1].back_at - 2 * LEASE_S
        result.append([at - outage.back_at for at in starts if outage.back_at < at < restored])
    return result
