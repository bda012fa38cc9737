"""What a successor has to know of zones, as one small record.

It is a hint on how cautious to be, and no rule depends on it: without a record that can be read, a leader begins from
the evidence. Versions before this one pass over its key.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from ladderfield.http import encode
from ladderfield.jobs.model import FULL
from ladderfield.zones.health import MOST_FAILURES, ZoneHealth, ZoneState
from ladderfield.zones.waves import Return

log = logging.getLogger(__name__)

ZONES = "lf/zones"
VERSION = 1
STALE_S = 3600.0  # what was written so long ago says nothing of now
Count = Annotated[int, msgspec.Meta(ge=0, le=MOST_FAILURES)]


class ZoneEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One zone; times are of day."""

    state: ZoneState
    since: float
    failures: Count = 0
    failed_at: float = 0.0
    held_from: float | None = None
    wave: Count | None = None  # the open wave of its return, if one is under way


class ZonesValue(msgspec.Struct, frozen=True):
    """The record."""

    version: int
    zones: dict[str, ZoneEntry]


class ZoneRecordError(ValueError):
    """Not a record that this version can use."""


def parse(value: Any, most_bytes: float, wall: float) -> dict[str, ZoneEntry]:
    """The zones on record, or ZoneRecordError."""
    if len(encode(value)) > most_bytes:
        raise ZoneRecordError("it is larger than any that we write")
    try:
        record = msgspec.convert(value, ZonesValue)
    except msgspec.ValidationError as error:
        raise ZoneRecordError(str(error)) from None
    if record.version > VERSION:
        raise ZoneRecordError(f"it is of version {record.version}")
    fresh = {zone: entry for zone, entry in record.zones.items() if -STALE_S < wall - entry.since < STALE_S}
    if record.zones and not fresh:
        raise ZoneRecordError("it is out of date")
    return fresh


class ZoneRecord:
    """The record as the ledger writes it: after all else, and only when something changed."""

    def __init__(self, value_kb: float, wall_offset: float) -> None:
        self.key = ZONES
        self.stamp = 0
        self.dirty = False
        self.most_bytes = value_kb * 1024 * FULL
        self.wall_offset = wall_offset
        self._value: dict[str, Any] = {}

    def load(self, value: Any, stamp: int, now: float) -> dict[str, ZoneEntry]:
        """What an earlier leader left, with times on our clock; nothing if it can't be used."""
        self.stamp = stamp
        if value is None:
            return {}
        try:
            entries = parse(value, self.most_bytes, now + self.wall_offset)
        except ZoneRecordError as error:
            log.warning("the record of zones is ignored: %s", error)
            self.dirty = True
            return {}
        return {zone: _shifted(entry, -self.wall_offset, now) for zone, entry in entries.items()}

    def update(self, healths: Mapping[str, ZoneHealth], returns: Mapping[str, Return]) -> None:
        """Something changed: what is to be written. Zones that are as any other are left out."""
        entries: dict[str, ZoneEntry] = {}
        for zone, health in sorted(healths.items(), key=lambda pair: pair[1].state is ZoneState.HEALTHY):
            wave = returns[zone].wave if zone in returns else None
            if health.state is ZoneState.HEALTHY and not health.failures and wave is None:
                continue
            entry = ZoneEntry(
                health.state, health.since, health.failures, health.failed_at, health.held_from, wave
            )  # fmt: skip
            entries[zone] = _shifted(entry, self.wall_offset)
            if len(encode(ZonesValue(VERSION, entries))) > self.most_bytes:
                del entries[zone]
                break
        self._value = msgspec.to_builtins(ZonesValue(VERSION, entries))
        self.dirty = True

    def size(self) -> int:
        """The bytes of what is to be written."""
        return len(encode(self.value()))

    def value(self) -> dict[str, Any]:
        """What is to be written."""
        return self._value or {"version": VERSION, "zones": {}}


def _shifted(entry: ZoneEntry, by: float, latest: float | None = None) -> ZoneEntry:
    """The entry on another clock; nothing in it lies after ``latest``."""

    def shift(at: float) -> float:
        moved = round(at + by, 3)
        return moved if latest is None else min(moved, latest)

    held_from = None if entry.held_from is None else shift(entry.held_from)
    return msgspec.structs.replace(
        entry, since=shift(entry.since), failed_at=shift(entry.failed_at), held_from=held_from
    )
