"""Reads all keys of the state service, page by page, within this controller's share of the limit on calls.

However many pages there are, a refused page costs one call: reading goes on where it was refused.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

import trio

from ladderfield.backoff import Backoff
from ladderfield.state import Page, PartialPage, StateClient, StateServiceError

log = logging.getLogger(__name__)

FIRST_PAUSE_SHARE = 1 / 16  # of the time limit of a page: pause after its first refusal
MAX_PAUSE_SHARE = 1 / 4  # of the same

KeyTable = dict[str, tuple[Any, int]]  # key -> value and revision


class InconsistentPagesError(Exception):
    """The pages contradict each other, so that reading has to begin anew."""


class Snapshot:
    """All keys, read at revisions from ``first_revision`` to ``last_revision``.

    Changes after the first are included for some keys only. Once those up to the last are applied, it is consistent.
    """

    __slots__ = ("complete", "data", "first_revision", "last_revision", "pages")

    def __init__(self, min_revision: int) -> None:
        self.data: KeyTable = {}
        self.first_revision = self.last_revision = min_revision
        self.pages = 0
        self.complete = True  # every key could be read

    def add(self, page: Page, known: Mapping[str, tuple[Any, int]]) -> None:
        """Add the next page; values that are ``known`` at the same revision are shared instead of held twice."""
        last_key = next(reversed(self.data), "")
        if page.revision < self.last_revision:
            raise InconsistentPagesError(
                f"page {self.pages + 1} is of revision {page.revision}, older than {self.last_revision}"
            )
        if page.has_more and not page.pairs:
            raise InconsistentPagesError(f"page {self.pages + 1} is empty, though more are to follow")
        for pair in page.pairs:
            if pair.key <= last_key:
                raise InconsistentPagesError(f"page {self.pages + 1} has {pair.key} after {last_key}")
            last_key = pair.key
            entry = known.get(pair.key)
            if entry is None or entry[1] != pair.revision:
                entry = (pair.value, pair.revision)
            self.data[pair.key] = entry
        self.first_revision = page.revision if not self.pages else self.first_revision
        self.last_revision = page.revision
        self.complete = self.complete and not isinstance(page, PartialPage)
        self.pages += 1


class SnapshotReader:
    """Reads snapshots for one view."""

    def __init__(self, client: StateClient, timeout_s: float) -> None:
        self.client, self.timeout_s = client, timeout_s

    async def read(self, known: Mapping[str, tuple[Any, int]], min_revision: int) -> Snapshot:
        """Read all keys at ``min_revision`` or later; InconsistentPagesError if that has to begin anew."""
        snapshot, refusals = Snapshot(min_revision), 0
        began = trio.current_time()
        more = True
        while more:
            page, refused = await self._page(snapshot)
            snapshot.add(page, known)
            refusals += refused
            more = page.has_more
        log.info(
            "read %d keys on %d pages in %.1f s, %d calls were refused",
            len(snapshot.data),
            snapshot.pages,
            trio.current_time() - began,
            refusals,
        )
        return snapshot

    async def _page(self, snapshot: Snapshot) -> tuple[Page, int]:
        """The page after those of the snapshot, and how often it was refused."""
        after_key = next(reversed(snapshot.data), "")
        backoff = Backoff(FIRST_PAUSE_SHARE * self.timeout_s, MAX_PAUSE_SHARE * self.timeout_s)
        while True:
            await self.client.take_page_token()
            try:
                return await self.client.page(after_key, self.timeout_s), backoff.failures
            except StateServiceError as error:
                level = logging.DEBUG if backoff.failures else logging.WARNING
                log.log(level, "page %d of the keys can't be read, retrying: %s", snapshot.pages + 1, error)
            await trio.sleep(backoff.next_pause_s())
