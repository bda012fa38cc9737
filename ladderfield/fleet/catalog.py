"""The recorded catalog of machine types: as many records as it needs, read back as a whole or known to be incomplete.

The head record holds the first types and says how many further records, the parts, hold the rest. Parts exist in two
slots. A writer fills the slot that the head does not name and then replaces the head, so that readers have the previous
catalog, whole, until the next one is. The generation ties a head to its parts.

Versions before this one keep the whole list in one record of its own, ``LEGACY_TYPES_KEY``, which this version only
reads: it does not tell whether the list was cut.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from ladderfield.http import encode
from ladderfield.jobs.model import MachineType, decode_types

log = logging.getLogger(__name__)

LEGACY_TYPES_KEY = "lf/types"
CATALOG_KEY = "lf/machine-types"
PART_PREFIX = CATALOG_KEY + "/"
SLOTS = 2
COMMA_BYTES = 1  # between two types of a record


class Head(msgspec.Struct, frozen=True):
    """The head record."""

    generation: str
    slot: int  # of the parts
    parts: int
    omitted: int  # types of the cloud that are on no record, as they can't be read or one record can't hold them
    types: list[MachineType]


class Part(msgspec.Struct, frozen=True):
    """One of the further records."""

    generation: str
    types: list[MachineType]


class Catalog(msgspec.Struct, frozen=True):
    """The machine types that are known, and whether there may be others."""

    types: dict[str, MachineType]
    omitted: int = 0
    intact: bool = True  # all records of the catalog were there; False for a list of an earlier version

    @property
    def whole(self) -> bool:
        """Whether these are certainly all types, so that what fits none of them can be refused for good."""
        return self.intact and not self.omitted


class Layout(msgspec.Struct, frozen=True):
    """The records of one catalog, as they are to be written: the parts in this order, the head after them."""

    parts: dict[str, Any]
    head: Any

    def catalog(self) -> Catalog:
        """The catalog that is read back from these records."""
        return recorded_catalog({**self.parts, CATALOG_KEY: self.head}.get)


def is_catalog_key(key: str) -> bool:
    """Whether the record belongs to the catalog or is the list of an earlier version."""
    return key in (CATALOG_KEY, LEGACY_TYPES_KEY) or key.startswith(PART_PREFIX)


def part_key(slot: int, number: int) -> str:
    """The key of a part; parts are numbered from 0."""
    return f"{PART_PREFIX}{slot}/{number}"


def listed_catalog(answer: list[Any]) -> Catalog:
    """The catalog that the cloud's answer describes. Entries that can't be read count as omitted."""
    listed = decode_types(answer)
    return Catalog(listed.types, listed.unreadable)


def recorded_catalog(get: Callable[[str], Any]) -> Catalog:
    """The catalog on record, or what an earlier version recorded; ``get`` returns the value of a key, or None."""
    head = _decoded(get(CATALOG_KEY), Head)
    if head is None:
        return Catalog(decode_types(get(LEGACY_TYPES_KEY)).types, intact=False)
    entries = list(head.types)
    intact = True
    for number in range(head.parts):
        part = _decoded(get(part_key(head.slot, number)), Part)
        if part is None or part.generation != head.generation:
            intact = False
        else:
            entries += part.types
    return Catalog(_merged(entries), head.omitted, intact)


def next_slot(head_value: Any) -> int:
    """The slot for the parts of the next catalog: one that the head on record does not name."""
    head = _decoded(head_value, Head)
    return 0 if head is None else (head.slot + 1) % SLOTS


def layout_of(catalog: Catalog, generation: str, slot: int, max_bytes: int) -> Layout:
    """Distribute a catalog over records of at most ``max_bytes`` each."""
    most = len(catalog.types)
    frame_bytes = len(encode(Head(generation, slot, most, catalog.omitted + most, [])))
    entries: list[MachineType] = []
    omitted = catalog.omitted
    for machine_type in catalog.types.values():
        pieces = _pieces(machine_type, max_bytes - frame_bytes)
        if not pieces:
            log.error("machine type %.80s is not recorded: a record can't hold it", machine_type.name)
            omitted += 1
        entries += pieces
    first, *others = _groups(entries, max_bytes - frame_bytes)
    parts = {
        part_key(slot, number): msgspec.to_builtins(Part(generation, types)) for number, types in enumerate(others)
    }
    return Layout(parts, msgspec.to_builtins(Head(generation, slot, len(parts), omitted, first)))


def _pieces(machine_type: MachineType, max_bytes: int) -> list[MachineType]:
    """The type, divided by zones into pieces that fit; empty if not even one zone's piece does."""
    if len(encode(machine_type)) <= max_bytes:
        return [machine_type]
    zones = machine_type.zones
    if len(zones) <= 1:
        return []
    middle = len(zones) // 2
    halves = [
        _pieces(msgspec.structs.replace(machine_type, zones=some), max_bytes)
        for some in (zones[:middle], zones[middle:])
    ]
    return halves[0] + halves[1] if all(halves) else []


def _groups(entries: Iterable[MachineType], max_bytes: int) -> list[list[MachineType]]:
    """Consecutive entries that share a record; at least one group, which may be empty."""
    groups: list[list[MachineType]] = [[]]
    size = 0
    for entry in entries:
        entry_bytes = len(encode(entry)) + COMMA_BYTES
        if groups[-1] and size + entry_bytes > max_bytes:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += entry_bytes
    return groups


def _merged(entries: Iterable[MachineType]) -> dict[str, MachineType]:
    """The types by name, each with the zones of all its pieces."""
    types: dict[str, MachineType] = {}
    for entry in entries:
        known = types.get(entry.name)
        zones = entry.zones if known is None else known.zones + entry.zones
        types[entry.name] = msgspec.structs.replace(entry, zones=zones)
    return types


Record = TypeVar("Record", Head, Part)


def _decoded(value: Any, kind: type[Record]) -> Record | None:
    """The record as ``kind``; None if it is absent or not one."""
    if value is None:
        return None
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        log.error("a record of the machine types can't be read: %s", error)
        return None
