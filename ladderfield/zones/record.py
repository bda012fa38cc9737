"""The stored record of zone states, read by the next leader.

The record only makes the next leader more cautious, and correctness does not depend on it: without a readable record a
leader judges zones from machine reports alone. Earlier versions of the program ignore its key.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from ladderfield.http import encode
from ladderfield.settings import MAX_RECORD_SHARE
from ladderfield.zones.health import MAX_FAILURES, ZoneHealth, ZoneState
from ladderfield.zones.waves import ZoneReturn

log = logging.getLogger(__name__)

ZONES_KEY = "lf/zones"
VERSION = 1
STALE_S = 3600.0  # older entries say nothing about the current state
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_FAILURES)]


class ZoneEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored state of one zone; times are wall-clock times."""

    state: ZoneState
    since: float
    failures: Count = 0
    failed_at: float = 0.0
    held_from: float | None = None
    wave: Count | None = None  # the open wave if work is returning to the zone


class ZonesValue(msgspec.Struct, frozen=True):
    """The stored record."""

    version: int
    zones: dict[str, ZoneEntry]


class ZoneRecordError(ValueError):
    """Raised for a record that this version can't use."""


def parse(value: Any, max_bytes: float, wall_now: float) -> dict[str, ZoneEntry]:
    """Decode a record; raises ZoneRecordError if it can't be used."""
    if len(encode(value)) > max_bytes:
        raise ZoneRecordError("it is larger than the size limit")
    try:
        record = msgspec.convert(value, ZonesValue)
    except msgspec.ValidationError as error:
        raise ZoneRecordError(str(error)) from None
    if record.version > VERSION:
        raise ZoneRecordError(f"unsupported version {record.version}")
    fresh = {zone: entry for zone, entry in record.zones.items() if -STALE_S < wall_now - entry.since < STALE_S}
    if record.zones and not fresh:
        raise ZoneRecordError("it is out of date")
    return fresh


class ZoneRecord:
    """The record, written after all other state and only if it changed."""

    def __init__(self, value_kb: float, wall_offset: float) -> None:
        self.key = ZONES_KEY
        self.revision = 0
        self.dirty = False
        self.max_bytes = value_kb * 1024 * MAX_RECORD_SHARE
        self.wall_offset = wall_offset
        self._value: dict[str, Any] = {}

    def load(self, value: Any, revision: int, now: float) -> dict[str, ZoneEntry]:
        """Decode the stored record and convert its times to this leader's clock; empty if it can't be used."""
        self.revision = revision
        if value is None:
            return {}
        try:
            entries = parse(value, self.max_bytes, now + self.wall_offset)
        except ZoneRecordError as error:
            log.warning("the record of zones is ignored: %s", error)
            self.dirty = True
            return {}
        return {zone: _shift_times(entry, -self.wall_offset, now) for zone, entry in entries.items()}

    def update(self, health_by_zone: Mapping[str, ZoneHealth], returns: Mapping[str, ZoneReturn]) -> None:
        """Rebuild the record after a change. Healthy zones without failures are left out."""
        entries: dict[str, ZoneEntry] = {}
        for zone, health in sorted(health_by_zone.items(), key=lambda pair: pair[1].state is ZoneState.HEALTHY):
            wave = returns[zone].wave if zone in returns else None
            if health.state is ZoneState.HEALTHY and not health.failures and wave is None:
                continue
            entry = ZoneEntry(
                health.state, health.since, health.failures, health.failed_at, health.held_from, wave
            )  # fmt: skip
            entries[zone] = _shift_times(entry, self.wall_offset)
            if len(encode(ZonesValue(VERSION, entries))) > self.max_bytes:
                del entries[zone]
                break
        self._value = msgspec.to_builtins(ZonesValue(VERSION, entries))
        self.dirty = True

    def size(self) -> int:
        """The encoded size in bytes."""
        return len(encode(self.value()))

    def value(self) -> dict[str, Any]:
        """The value to write."""
        return self._value or {"version": VERSION, "zones": {}}


def _shift_times(entry: ZoneEntry, offset_s: float, latest: float | None = None) -> ZoneEntry:
    """Shift the entry's times by an offset in seconds; no time is later than ``latest``."""

    def shift(at: float) -> float:
        moved = round(at + offset_s, 3)
        return moved if latest is None else min(moved, latest)

    held_from = None if entry.held_from is None else shift(entry.held_from)
    return msgspec.structs.replace(
        entry, since=shift(entry.since), failed_at=shift(entry.failed_at), held_from=held_from
    )
