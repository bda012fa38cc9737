"""The catalog of machine types as one controller knows it, and its recording while no leader has done that yet.

A leader refreshes the catalog (``leader/cloud_tasks.py``). Until one has, any controller records it, as no job can be
validated without it and a controller may be up before any leader of this version.
"""

from __future__ import annotations

import logging
import math

import trio

from ladderfield.fleet.catalog import (
    CATALOG_KEY,
    LEGACY_TYPES_KEY,
    SLOTS,
    Catalog,
    listed_catalog,
    part_key,
    recorded_catalog,
)
from ladderfield.fleet.catalog_writer import CatalogWriter
from ladderfield.fleet.cloud import Cloud, CloudError
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.view import View

log = logging.getLogger(__name__)

ABANDONED_REPORT_INTERVALS = 4  # without progress for so long, another writer's unfinished catalog is abandoned
RETRY_REPORT_INTERVALS = 1 / 4  # pause while the catalog is not on record


class CatalogReader:
    """Reads the catalog from the view; decodes it again only once its records have changed."""

    def __init__(self, view: View) -> None:
        self.view = view
        self._catalog = Catalog({}, intact=False)
        self._revisions = (-1, -1, -1)

    def catalog(self) -> Catalog:
        """The catalog as the view has it."""
        head, legacy = self.view.revision_of(CATALOG_KEY), self.view.revision_of(LEGACY_TYPES_KEY)
        if (head, legacy) != self._revisions[:2] or not (
            self._catalog.intact or self.view.revision == self._revisions[2]
        ):
            self._revisions = (head, legacy, self.view.revision)
            self._catalog = recorded_catalog(self.view.get)
        return self._catalog


class CatalogKeeper:
    """Records the catalog unless all of it is on record."""

    def __init__(
        self, settings: Settings, cloud: Cloud, client: StateClient, view: View, reader: CatalogReader
    ) -> None:
        self.cloud, self.view, self.reader = cloud, view, reader
        self.writer = CatalogWriter(settings, client, view, client.writes, client.calls)
        self.report_s = settings.cluster.workers.report_s
        self._progress, self._progress_at = 0, -math.inf  # revision of the newest part, and when it was first seen

    async def run(self) -> None:
        """Check the record periodically until cancelled."""
        while True:
            if self._is_needed():
                try:
                    await self.cloud.idle_budget.take()
                    listed = listed_catalog(await self.cloud.types())
                    if listed.types and self._is_needed():
                        await self.writer.record(listed)
                except CloudError as error:
                    log.info("could not record the machine types: %s", error)
            intact = self.view.synced and self.reader.catalog().intact
            await trio.sleep(self.report_s if intact else RETRY_REPORT_INTERVALS * self.report_s)

    def _is_needed(self) -> bool:
        """Whether the catalog is not on record, and no other writer is about to change that."""
        if not self.view.synced or self.reader.catalog().intact:
            return False
        progress, now = self._newest_part(), trio.current_time()
        if progress != self._progress:
            self._progress, self._progress_at = progress, now
        return now - self._progress_at > ABANDONED_REPORT_INTERVALS * self.report_s

    def _newest_part(self) -> int:
        """The revision of the part that was written last, 0 if there is none."""
        newest = 0
        for slot in range(SLOTS):
            number = 0
            while revision := self.view.revision_of(part_key(slot, number)):
                newest = max(newest, revision)
                number += 1
        return newest
