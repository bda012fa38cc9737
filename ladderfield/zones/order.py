"""The operator-defined order in which job priorities return to a zone."""

from __future__ import annotations

from dataclasses import dataclass

from ladderfield.jobs.model import PRODUCTION, RANKS


class ReturnOrderError(ValueError):
    """Raised for an invalid order of priorities; the message gives the reason."""


@dataclass(frozen=True)
class ReturnOrder:
    """The priorities of each wave; priorities that no wave names belong to the last one."""

    waves: tuple[tuple[str, ...], ...]

    @property
    def last_wave(self) -> int:
        """The index of the last wave."""
        return len(self.waves) - 1

    def wave_of(self, rank: int) -> int:
        """The index of the wave in which jobs of this rank return."""
        for number, names in enumerate(self.waves):
            if any(RANKS[name] == rank for name in names):
                return number
        return self.last_wave

    def wave_name(self, wave: int) -> str:
        """The priorities of a wave, joined as in the flag."""
        return "+".join(self.waves[wave])


def parse_order(text: str) -> ReturnOrder:
    """Parse an order such as ``production,urgent+standard,best_effort``."""
    waves = tuple(tuple(names.strip().split("+")) for names in text.split(","))
    named = [name for names in waves for name in names]
    for name in named:
        if name not in RANKS:
            raise ReturnOrderError(f"unknown priority {name!r}; known are {', '.join(RANKS)}")
    for name in RANKS:
        if named.count(name) > 1:
            raise ReturnOrderError(f"{name} is given more than once")
    if waves[0] != (PRODUCTION,):
        raise ReturnOrderError(f"{PRODUCTION} must be first and in a wave of its own")
    if len(waves) < 2:
        raise ReturnOrderError("at least two waves are required")
    return ReturnOrder(waves)
