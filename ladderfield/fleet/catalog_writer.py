"""Writes the catalog of machine types to the state service: the parts of the slot that is not in use, then the head."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Mapping

import trio

from ladderfield.budget import Budget
from ladderfield.fleet.catalog import CATALOG_KEY, Catalog, layout_of, next_slot, recorded_catalog
from ladderfield.record_writer import RecordWriter
from ladderfield.settings import Settings
from ladderfield.state import StateClient, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)

MIN_RECORD_BYTES = 512  # lower bound of a record's size when it is reduced after rejected transactions
WRITE_SHARE = 1 / 4  # of the budget, while the catalog takes several transactions: others use the same budget
GENERATION_BYTES = 8  # of the random name of a generation


class CatalogWriter:
    """Writes catalogs for one controller; ``fences`` are guards of each transaction."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        writes: Budget,
        calls: Budget,
        fences: Mapping[str, int] | None = None,
    ) -> None:
        self.view = view
        self.records = RecordWriter(settings, client, view, writes, calls, fences)
        self.max_record_bytes = settings.cluster.state.max_record_bytes

    async def record(self, listed: Catalog) -> bool:
        """Put a catalog on record unless it is there; False if another writer has come between."""
        while True:
            slot = next_slot(self.view.get(CATALOG_KEY))
            layout = layout_of(listed, secrets.token_hex(GENERATION_BYTES), slot, self.max_record_bytes)
            if layout.catalog() == recorded_catalog(self.view.get):
                return True
            head = {CATALOG_KEY: self.view.revision_of(CATALOG_KEY)}
            try:
                written = await self.records.write({**layout.parts, CATALOG_KEY: layout.head}, head, WRITE_SHARE)
            except WriteRefusedError as error:
                log.error("the state service rejected records of machine types permanently: %s", error)
                self.records.max_ops = max(1, self.records.max_ops // 2)
                self.max_record_bytes = max(MIN_RECORD_BYTES, self.max_record_bytes // 2)
                await trio.sleep(self.records.retry_s)
                continue
            if written:
                log.info("%d machine types recorded on %d records", len(listed.types), 1 + len(layout.parts))
            return written
