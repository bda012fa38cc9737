"""The records of machine types: whole or known not to be, whatever their number and whoever writes them when."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from unittest.mock import AsyncMock

import msgspec
import pytest
import trio

from ladderfield.fleet.catalog import (
    CATALOG_KEY,
    layout_of,
    listed_catalog,
    recorded_catalog,
)
from ladderfield.fleet.catalog_keeper import CatalogKeeper, CatalogReader
from ladderfield.fleet.catalog_writer import CatalogWriter
from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.http import encode
from ladderfield.testing import TYPES
from ladderfield.testing.lower_limits import MAX_RECORD_BYTES, WriterRig, many_types

GENERATION = "0011223344556677"


@pytest.mark.parametrize("seed", range(20))
def test_any_catalog_is_read_back_whole_and_a_missing_part_is_noticed(seed: int) -> None:
    random = Random(seed)
    entries = many_types(random.randrange(1, 300), zones=random.choice([2, 3, 400]))
    catalog = listed_catalog([entry | {"name": entry["name"] * random.randrange(1, 9)} for entry in entries])
    layout = layout_of(catalog, GENERATION, 1, MAX_RECORD_BYTES)
    records = {CATALOG_KEY: layout.head, **layout.parts}
    assert max(len(encode(value)) for value in records.values()) <= MAX_RECORD_BYTES
    read = recorded_catalog(msgspec.json.decode(encode(records)).get)
    assert read == catalog and read.whole
    for key in layout.parts:
        assert not recorded_catalog({name: value for name, value in records.items() if name != key}.get).whole
        other = records | {key: records[key] | {"generation": "other"}}
        assert not recorded_catalog(other.get).whole


def test_types_that_cannot_be_read_or_recorded_leave_the_catalog_incomplete() -> None:
    unreadable = listed_catalog([*many_types(2), {"name": "m8"}, 7])
    assert unreadable.omitted == 2 and not unreadable.whole and len(unreadable.types) == 2
    oversized = listed_catalog([*many_types(2), TYPES[0] | {"name": "m" * 3000}])
    recorded = layout_of(oversized, GENERATION, 0, MAX_RECORD_BYTES).catalog()
    assert oversized.whole and recorded.omitted == 1 and not recorded.whole and list(recorded.types) == ["m0", "m1"]
    assert recorded.intact, "it is recorded as well as it can be"


async def test_the_previous_catalog_is_read_until_the_next_one_is_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
        writer = await rig.writer()
        catalogs = [listed_catalog(many_types(300, price)) for price in (0.1, 0.2, 0.3)]
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
    written = [listed_catalog(many_types(random.randrange(20, 60), round(random.random(), 3))) for _ in range(6)]
    seen = []

    async def keep_writing(writer: CatalogWriter) -> None:
        while True:
            with trio.move_on_after(random.uniform(1, 30)):  # the controller ends, perhaps halfway
                await writer.record(random.choice(written))
            await trio.sleep(random.uniform(0, 5))

    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
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


async def test_a_writer_gives_way_to_another_though_its_transactions_are_not_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
        rig.service.lose_answers = 1
        writer, results = await rig.writer(), []

        async def write() -> None:
            results.append(await writer.record(listed_catalog(many_types(200))))

        nursery.start_soon(write)
        await trio.sleep(0.5)
        (lock_key,) = [key for key in rig.service.keys if key.endswith("/0/0")]
        await trio.sleep(3.5)  # the writer has seen its lock on record
        rig.service.lose_answers = 1
        await trio.sleep(2)
        other = {"generation": "other", "types": []}
        rig.put({lock_key: other})
        await trio.sleep(20)
        assert results == [False] and rig.service.keys[lock_key][0] == other
        nursery.cancel_scope.cancel()


async def test_a_deposed_leader_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
        rig.service.keys["lf/epoch"] = ({"epoch": 9}, 7, None)
        rig.service.revision = 7
        writer = await rig.writer({"lf/epoch": 6})
        assert not await writer.record(listed_catalog(many_types(40)))
        assert set(rig.service.keys) == {"lf/epoch"}
        nursery.cancel_scope.cancel()


async def test_limits_below_those_in_the_settings_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
        rig.service.max_value_bytes, rig.service.max_ops = 700, 2
        writer = await rig.writer()
        assert await writer.record(listed_catalog(many_types(50)))
        assert rig.recorded() == listed_catalog(many_types(50))
        nursery.cancel_scope.cancel()


async def test_a_controller_without_a_leader_records_the_catalog_but_disturbs_no_other_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        rig = WriterRig(monkeypatch, nursery)
        view = await rig.view()
        reader = CatalogReader(view)
        cloud = Cloud(rig.settings)
        monkeypatch.setattr(cloud, "types", AsyncMock(side_effect=[CloudError, many_types(40)]))
        keeper = CatalogKeeper(rig.settings, cloud, view.client, view, reader)
        unfinished = layout_of(listed_catalog(many_types(40)), GENERATION, 0, MAX_RECORD_BYTES)
        key, part = next(iter(unfinished.parts.items()))
        rig.put({key: part})
        nursery.start_soon(keeper.run)
        await trio.sleep(7)
        assert rig.service.keys[key][0] == part, "another controller may be about to finish"
        assert not reader.catalog().intact
        await trio.sleep(60)
        assert reader.catalog() == listed_catalog(many_types(40))
        nursery.cancel_scope.cancel()
