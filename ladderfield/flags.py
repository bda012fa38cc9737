"""Operators' flags that can't be used."""

from __future__ import annotations


class FlagError(Exception):
    """A flag can't be used; the text is one line that names it."""

    def __init__(self, flag: str, why: str) -> None:
        super().__init__(f"{flag}: {why}")
