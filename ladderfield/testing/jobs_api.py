"""The jobs API on a scripted state service, without the rest of a controller."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.fleet.catalog import CATALOG_KEY, layout_of, listed_catalog
from ladderfield.fleet.catalog_keeper import CatalogReader
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.rollout import Rollout
from ladderfield.state import StateClient
from ladderfield.testing.network import Network
from ladderfield.testing.samples import TYPES, settings
from ladderfield.testing.state_service import StateService
from ladderfield.view import View

MAX_CATALOG_BYTES = 15 * 1024


def put_catalog(service: StateService, types: list[Any]) -> None:
    """Put the catalog of these machine types, which one record holds, on record."""
    layout = layout_of(listed_catalog(types), "generation", 0, MAX_CATALOG_BYTES)
    assert not layout.parts
    service.keys[CATALOG_KEY] = (layout.head, 1, None)


async def serving_jobs_api(monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery) -> tuple[JobsApi, StateService]:
    """Start a jobs API that follows a scripted state service; returns both."""
    net, service = Network(nursery), StateService()
    net.http("10.2.0.1:23", service)
    monkeypatch.setattr("ladderfield.http.connect", net.connect)
    put_catalog(service, TYPES)
    client = StateClient(settings())
    view = View(client, settings())
    nursery.start_soon(view.run)
    nursery.start_soon(view.run_reads)
    dependencies, rollout = DependencyGraph(view.get), Rollout(settings(), client, view)
    view.listeners.append(dependencies.apply_change)
    api = JobsApi(settings(), client, view, dependencies, rollout, CatalogReader(view), Cancellations(100))
    nursery.start_soon(api.submissions.acceptor.run)
    await trio.sleep(0.1)
    return api, service
