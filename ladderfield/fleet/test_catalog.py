"""The records of machine types: whole or known not to be, whatever their number and whoever writes them when."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import Any
from unittest.mock import AsyncMock

import msgspec
import pytest
import trio

from ladderfield.budget import Budget
from ladderfield.fleet.catalog import (
    CATALOG_KEY,
    LEGACY_TYPES_KEY,
    Catalog,
    layout_of,
    listed_catalog,
    recorded_catalog,
)
from ladderfield.fleet.catalog_keeper import CatalogKeeper, CatalogReader
from ladderfield.fleet.catalog_writer import CatalogWriter
from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.http import encode
from ladderfield.settings import StateLimits
from ladderfield.state import StateClient
from ladderfield.testing import TYPES, StateService, settings
from ladderfield.testing.network import Network
from ladderfield.view import View

MAX_BYTES = 1920
LOWER_LIMITS = StateLimits(100.0, 18.0, 2.0, 6)
SETTINGS = msgspec.structs.replace(settings(), cluster=msgspec.structs.replace(settings().cluster, state=LOWER_LIMITS))
GENERATION = "0011223344556677"


def types(count: int, price: float = 0.1, zones: int = 2) -> list[dict[str, Any]]:
    names = [f"zone-{n}" for n in range(zones)]
    return [TYPES[0] | {"name": f"m{n}", "lowPrice": price, "yards": names} for n in range(count)]


@pytest.mark.parametrize("seed", range(20))
def test_any_catalog_is_read_back_whole_and_a_missing_part_is_noticed(seed: int) -> None:
    random = Random(seed)
    entries = types(random.randrange(1, 300), zones=random.choice([1, 3, 400]))
    catalog = listed_catalog([entry | {"name": entry["name"] * random.randrange(1, 9)} for entry in entries])
    layout = layout_of(catalog, GENERATION, 1, MAX_BYTES)
    records = {CATALOG_KEY: layout.head, **layout.parts}
    assert max(len(encode(value)) for value in records.values()) <= MAX_BYTES
    read = recorded_catalog(msgspec.json.decode(encode(records)).get)
    assert read == catalog and read.whole
    for key in layout.parts:
        assert not recorded_catalog({name: value for name, value in records.items() if name != key}.get).whole
        other = records | {key: records[key] | {"generation": "other"}}
        assert not recorded_catalog(other.get).whole


def test_types_that_cannot_be_read_or_recorded_leave_the_catalog_incomplete() -> None:
    unreadable = listed_catalog([*types(2), {"name": "m8"}, 7])
    assert unreadable.omitted == 2 and not unreadable.whole and len(unreadable.types) == 2
    oversized = listed_catalog([*types(2), TYPES[0] | {"name": "m" * 3000}])
    recorded = layout_of(oversized, GENERATION, 0, MAX_BYTES).catalog()
    assert oversized.whole and recorded.omitted == 1 and not recorded.whole and list(recorded.types) == ["m0", "m1"]
    assert recorded.intact, "it is recorded as well as it can be"


def test_a_list_of_the_version_before_counts_as_incomplete_and_only_without_a_catalog() -> None:
    records = {LEGACY_TYPES_KEY: types(3)}
    assert recorded_catalog(records.get) == Catalog(listed_catalog(types(3)).types, intact=False)
    layout = layout_of(listed_catalog(types(1)), GENERATION, 0, MAX_BYTES)
    assert list(recorded_catalog((records | {CATALOG_KEY: layout.head}).get).types) == ["m0"]


class Rig:
    """A state service with lower limits, and what controllers need to write to it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery) -> None:
        network = Network(nursery)
        self.service = StateService()
        self.service.max_value_bytes, self.service.max_ops = 2048, 6
        network.http("10.2.0.1:23", self.service)
        monkeypatch.setattr("ladderfield.http.connect", network.connect)
        self.nursery = nursery

    async def view(self) -> View:
        """The view of another controller."""
        view = View(StateClient(SETTINGS), SETTINGS)
        self.nursery.start_soon(view.run)
        while not view.synced:
            await trio.sleep(0.1)
        return view

    async def writer(self, guards: dict[str, int] | None = None) -> CatalogWriter:
        """A writer with a client and a view of its own."""
        view = await self.view()
        return CatalogWriter(SETTINGS, view.client, view, Budget(8.0), Budget(20.0), guards)

    def recorded(self) -> Catalog:
        """The catalog as it is on record now."""
        return recorded_catalog(lambda key: self.service.keys.get(key, (None,))[0])


async def test_the_previous_catalog_is_read_until_the_next_one_is_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = Rig(monkeypatch, nursery)
        writer = await rig.writer()
        catalogs = [listed_catalog(types(300, price)) for price in (0.1, 0.2, 0.3)]
        await writer.record(catalogs[0])
        for before, after in pairwise(catalogs):
            nursery.start_soon(writer.record, after)
            while rig.recorded() == before:
                await trio.sleep(0.01)
            assert rig.recorded() == after
        await trio.sleep(10)
        transactions = rig.service.transactions
        assert await writer.record(after) and rig.service.transactions == transactions, "nothing is written again"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(8))
async def test_writers_that_end_and_late_transactions_never_mix_catalogs(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    random = Random(seed)
    written = [listed_catalog(types(random.randrange(20, 60), round(random.random(), 3))) for _ in range(6)]
    seen = []

    async def keep_writing(writer: CatalogWriter) -> None:
        while True:
            with trio.move_on_after(random.uniform(1, 30)):  # the controller ends, perhaps halfway
                await writer.record(random.choice(written))
            await trio.sleep(random.uniform(0, 5))

    async with trio.open_nursery() as nursery:
        rig = Rig(monkeypatch, nursery)
        rig.service.late_transaction_every, rig.service.late_transaction_s = 4, random.uniform(2.0, 12.0)
        writers = [await rig.writer() for _ in range(2)]
        with trio.move_on_after(300):
            async with trio.open_nursery() as running:
                for writer in writers:
                    running.start_soon(keep_writing, writer)
                while True:
                    await trio.sleep(0.05)
                    if CATALOG_KEY in rig.service.keys:
                        seen.append(written.index(rig.recorded()))
        assert len(set(seen)) > 1
        rig.service.late_transaction_every = 0
        assert await (await rig.writer()).record(written[0]) and rig.recorded() == written[0]
        nursery.cancel_scope.cancel()


async def test_a_deposed_leader_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = Rig(monkeypatch, nursery)
        rig.service.keys["lf/epoch"] = ({"epoch": 9}, 7, None)
        rig.service.revision = 7
        writer = await rig.writer({"lf/epoch": 6})
        assert not await writer.record(listed_catalog(types(40)))
        assert set(rig.service.keys) == {"lf/epoch"}
        nursery.cancel_scope.cancel()


async def test_limits_below_those_in_the_settings_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = Rig(monkeypatch, nursery)
        rig.service.max_value_bytes, rig.service.max_ops = 700, 2
        writer = await rig.writer()
        assert await writer.record(listed_catalog(types(50)))
        assert rig.recorded() == listed_catalog(types(50))
        nursery.cancel_scope.cancel()


async def test_a_controller_without_a_leader_records_the_catalog_but_disturbs_no_other_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        rig = Rig(monkeypatch, nursery)
        view = await rig.view()
        reader = CatalogReader(view)
        cloud = Cloud(settings())
        monkeypatch.setattr(cloud, "types", AsyncMock(side_effect=[CloudError, CloudError, types(40)]))
        keeper = CatalogKeeper(SETTINGS, cloud, view.client, view, reader)
        unfinished = layout_of(listed_catalog(types(40)), GENERATION, 0, MAX_BYTES)
        key, part = next(iter(unfinished.parts.items()))
        rig.service._apply({"guards": [], "apply": [{"put": key, "value": part}]})
        nursery.start_soon(keeper.run)
        await trio.sleep(6)
        assert not reader.catalog().intact, "another controller may be about to finish"
        await trio.sleep(60)
        assert reader.catalog() == listed_catalog(types(40))
        nursery.cancel_scope.cancel()
