"""Machine types that no single record holds, and clusters and writers at lower limits of the state service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.budget import Budget
from ladderfield.fleet.catalog import Catalog, recorded_catalog
from ladderfield.fleet.catalog_writer import CatalogWriter
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.network import Network
from ladderfield.testing.samples import SETTINGS, TYPES, settings
from ladderfield.testing.state_service import StateService
from ladderfield.view import View

VALUE_KB, TXN_OPS, WRITE_RPS = 2.0, 6, 18.0  # the lower limits
MAX_RECORD_BYTES = 1920


def many_types(count: int, price: float = 0.1, zones: int = 2) -> list[dict[str, Any]]:
    """Types m0, m1, ... as the cloud lists them."""
    names = ["za", "zb", *(f"z{number}" for number in range(zones - 2))]
    return [TYPES[0] | {"name": f"m{number}", "lowPrice": price, "yards": names} for number in range(count)]


def incompressible_names(count: int) -> list[str]:
    """Names of machine types that don't exist."""
    random = Random(0)
    return ["".join(random.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=20)) for _ in range(count)]


def announce_lower_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Name the lower limits in the settings of controllers that start from now on."""
    coming = {"next": {"value_kb": VALUE_KB, "txn_ops": TXN_OPS, "write_rps": WRITE_RPS}}
    monkeypatch.setitem(SETTINGS["cluster"], "state", SETTINGS["cluster"]["state"] | coming)


def lower_limits(service: StateService) -> None:
    """Let the state service lower its limits."""
    service.max_value_bytes, service.max_ops = int(VALUE_KB * 1024), TXN_OPS


async def start_all(whole: Cluster) -> None:
    """Start all controllers, and wait until they have a leader."""
    for number in range(3):
        whole.start(number)
    await trio.sleep(20)


@asynccontextmanager
async def cluster_at_lower_limits(
    monkeypatch: pytest.MonkeyPatch, types: list[dict[str, Any]], lowered: bool = True
) -> AsyncIterator[Cluster]:
    """Run a cluster whose cloud lists these types; without ``lowered`` at the usual limits."""
    if lowered:
        announce_lower_limits(monkeypatch)
    async with cluster(monkeypatch, nodes=0) as whole:
        if lowered:
            lower_limits(whole.state)
        whole.cloud.types = types
        await start_all(whole)
        yield whole


class WriterRig:
    """A state service with lower limits, and what controllers need to write to it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery) -> None:
        announce_lower_limits(monkeypatch)
        self.settings: Settings = settings()
        self.service, self.nursery = StateService(), nursery
        lower_limits(self.service)
        network = Network(nursery)
        network.http("10.2.0.1:23", self.service)
        monkeypatch.setattr("ladderfield.http.connect", network.connect)

    async def view(self) -> View:
        """The view of another controller."""
        view = View(StateClient(self.settings), self.settings)
        self.nursery.start_soon(view.run)
        while not view.synced:
            await trio.sleep(0.1)
        return view

    async def writer(self, fences: dict[str, int] | None = None) -> CatalogWriter:
        """A writer with a client and a view of its own."""
        view = await self.view()
        return CatalogWriter(self.settings, view.client, view, Budget(8.0), Budget(20.0), fences)

    def recorded(self) -> Catalog:
        """The catalog as it is on record now."""
        return recorded_catalog(lambda key: self.service.keys.get(key, (None,))[0])

    def put(self, records: dict[str, Any]) -> None:
        """Write records as another client would."""
        puts = [{"put": key, "value": msgspec.to_builtins(value)} for key, value in records.items()]
        assert self.service._apply({"guards": [], "apply": puts}).status == 200
