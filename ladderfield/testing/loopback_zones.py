"""Three controllers, a state service, a cloud and workers in three zones over real sockets; one zone flaps."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Server
from ladderfield.server import serve
from ladderfield.settings import Settings
from ladderfield.testing.cloud_service import CloudService
from ladderfield.testing.loopback import ZONES, Addresses, WorkerTiming, free_ports, listen, raw_settings
from ladderfield.testing.network import Network
from ladderfield.testing.samples import TYPES, job
from ladderfield.testing.state_service import StateService
from ladderfield.testing.worker import Worker
from ladderfield.zones.health import MAX_HOLD_S
from ladderfield.zones.options import ZoneOptions

REPORT_S, LEASE_S, CANCEL_S = 0.4, 2.0, 8.0
FETCH_S, RUN_S = 0.3, 0.6
REPLICAS = 3
SERVICE, BATCH = "req-000001", "req-000002"
TIMEOUT_S = MAX_HOLD_S + 30.0  # after many failures batch work is held back for the maximum time
SUBMIT_ATTEMPTS = 100


@dataclass
class Outage:
    """One outage of the zone, and when its service was restored."""

    back_at: float
    missing: int  # replicas that were not running when the zone came back
    restored_at: float | None = None


@dataclass
class ZonesCluster:
    """A cluster with three zones, one of which can be cut off."""

    nursery: trio.Nursery
    options: ZoneOptions | None
    ports: list[int] = field(default_factory=lambda: free_ports(8))
    cut_zones: set[str] = field(default_factory=set)
    specs: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start the services and the controllers."""
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
        """Settings of one controller."""
        bound = [f"127.0.0.1:{port}" for port in self.ports]
        addresses = Addresses(bound[:3], bound[3:6], bound[6], bound[7])
        return msgspec.convert(raw_settings(number, addresses, WorkerTiming(REPORT_S, LEASE_S, CANCEL_S)), Settings)

    def _boot(self, host: str, request: dict[str, Any]) -> Worker:
        """Start the worker of a rented machine at once; in a zone that is cut off it is unreachable."""
        (port,) = free_ports(1)
        controllers = [f"127.0.0.1:{self.ports[number]}" for number in range(len(ZONES))]
        worker = Worker(
            host, f"127.0.0.1:{port}", self.net, controllers, yard=request["yard"], loaners=request["loaners"]
        )
        worker.report_fields["endpoint"] = worker.address
        worker.run_s, worker.lease_s, worker.report_pause_s, worker.fetch_s = RUN_S, LEASE_S, REPORT_S / 3, FETCH_S
        worker.is_service = lambda uid: self.specs[uid]["shape"] == "daemon"
        if request["yard"] in self.cut_zones:
            self.net.cut.add(worker.address)
        self.nursery.start_soon(listen, worker.address, Server(worker, 20, 5.0, 60.0))
        self.nursery.start_soon(worker.run)
        return worker

    async def submit(self, uid: str, **changes: Any) -> None:
        """Submit a job, with retries, and assert that it is accepted."""
        self.specs[uid] = job(uid, **{"owner": "blue", "loaners": False} | changes)
        client = Client("127.0.0.1", self.ports[0], max_idle=0)
        for _ in range(SUBMIT_ATTEMPTS):
            try:
                status, _ = await client.call("POST", "/api/jobs", self.specs[uid], 2.0)
            except NoAnswerError:
                status = 0
            if status in (200, 201):
                return
            await trio.sleep(0.2)
        raise AssertionError(f"{uid} is not accepted")

    def cut(self, zone: str) -> None:
        """Cut off a zone's workers, including those that boot later."""
        self.cut_zones.add(zone)
        self.net.cut.update(worker.address for worker in self.in_zone(zone))

    def heal(self, zone: str) -> None:
        """Reconnect a zone's workers."""
        self.cut_zones.discard(zone)
        self.net.cut.difference_update(worker.address for worker in self.in_zone(zone))

    def in_zone(self, zone: str) -> list[Worker]:
        """Workers of a zone whose machines exist."""
        return [
            worker for worker in self.cloud.workers.values() if worker.report_fields["yard"] == zone and not worker.dead
        ]

    def replicas(self, zone: str) -> int:
        """Number of the service's replicas that run in a zone."""
        phases = [
            task["phase"]
            for worker in self.in_zone(zone)
            if worker.active_tasks()
            for name, task in worker.tasks.items()
            if name.startswith(SERVICE)
        ]
        return phases.count("running")

    async def wait_for_replicas(self, replicas: int, zone: str) -> float:
        """Wait until this many replicas run; returns the time."""
        with trio.fail_after(TIMEOUT_S):
            while self.replicas(zone) < replicas:
                await trio.sleep(REPORT_S / 10)
        return trio.current_time()

    def batch_starts(self, zone: str) -> list[float]:
        """Times at which batch tasks were launched in a zone, before any image fetch."""
        workers = [worker for worker in self.cloud.workers.values() if worker.report_fields["yard"] == zone]
        return [at for worker in workers for at, name, _ in worker.started if name.startswith(BATCH)]


async def flap(options: ZoneOptions | None, flaps: int) -> tuple[list[Outage], list[float]]:
    """Cut off zone zc repeatedly, with a service that may run only there and batch work for all zones."""
    outages: list[Outage] = []
    async with trio.open_nursery() as nursery:
        cluster = ZonesCluster(nursery, options)
        await cluster.submit(
            SERVICE, shape="daemon", rank="production", rungs=REPLICAS, yard="zc", expectS=0.0, memoryGb=9.0
        )
        await cluster.wait_for_replicas(REPLICAS, "zc")
        await cluster.submit(BATCH, rungs=4000, cores=1.0, memoryGb=1.0, expectS=RUN_S, bundle="img-batch")
        with trio.fail_after(TIMEOUT_S):
            while not cluster.batch_starts("zc"):
                await trio.sleep(REPORT_S)
        for number in range(flaps):
            cluster.cut("zc")
            await trio.sleep(2 * LEASE_S + number % 4 * REPORT_S)
            cluster.heal("zc")
            outage = Outage(trio.current_time(), REPLICAS - cluster.replicas("zc"))
            outages.append(outage)
            if number % 3 == 1:
                await trio.sleep(REPORT_S)  # the zone fails again while its tasks are being restored
            else:
                outage.restored_at = await cluster.wait_for_replicas(REPLICAS, "zc")
        with trio.fail_after(TIMEOUT_S):
            while max(cluster.batch_starts("zc")) < trio.current_time() - 2 * REPORT_S:
                await trio.sleep(REPORT_S)
        starts = cluster.batch_starts("zc")
        nursery.cancel_scope.cancel()
    return outages, starts


def batch_before_service(outages: list[Outage], starts: list[float]) -> list[list[float]]:
    """For each return of the zone, the delays of batch tasks launched there before the service was restored."""
    result = []
    for number, outage in enumerate(outages):
        restored = outage.restored_at or outages[number + 1].back_at - 2 * LEASE_S
        result.append([at - outage.back_at for at in starts if outage.back_at < at < restored])
    return result
