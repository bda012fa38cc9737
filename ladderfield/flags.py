"""The error for invalid command-line flags."""

from __future__ import annotations


class FlagError(Exception):
    """A flag has an invalid value; the message is one line that names the flag."""

    def __init__(self, flag: str, reason: str) -> None:
        super().__init__(f"{flag}: {reason}")
