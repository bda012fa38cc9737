"""The order in which priorities return to a zone, as operators state it."""

from __future__ import annotations

from dataclasses import dataclass

from ladderfield.jobs.model import PRODUCTION, RANKS


class ReturnOrderError(ValueError):
    """Not an order of priorities; the text says why."""


@dataclass(frozen=True)
class ReturnOrder:
    """Which priorities belong to which wave; what no wave names comes with the last."""

    waves: tuple[tuple[str, ...], ...]

    @property
    def last(self) -> int:
        """The number of the last wave."""
        return len(self.waves) - 1

    def wave_of(self, rank: int) -> int:
        """The wave in which jobs of this rank return."""
        for number, names in enumerate(self.waves):
            if any(RANKS[name] == rank for name in names):
                return number
        return self.last

    def name(self, wave: int) -> str:
        """The wave's priorities."""
        return "+".join(self.waves[wave])


def parse_order(text: str) -> ReturnOrder:
    """An order such as ``production,urgent+standard,best_effort``."""
    waves = tuple(tuple(names.strip().split("+")) for names in text.split(","))
    named = [name for names in waves for name in names]
    for name in named:
        if name not in RANKS:
            raise ReturnOrderError(f"unknown priority {name!r}; known are {', '.join(RANKS)}")
    for name in RANKS:
        if named.count(name) > 1:
            raise ReturnOrderError(f"{name} stands there twice")
    if waves[0] != (PRODUCTION,):
        raise ReturnOrderError(f"{PRODUCTION} has to come first, alone")
    if len(waves) < 2:
        raise ReturnOrderError("at least two waves are needed")
    return ReturnOrder(waves)
