"""What is known of the machines of one zone at one moment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ZoneCounts:
    """Counts of the machines in a zone that were heard in this term, or hold claims."""

    machines: int = 0
    impaired: int = 0  # silent, or on a way round a leader they can't reach, or deaf to what we say
    unheard: int = 0  # silent
    lapsed: int = 0  # of these: those whose lease is surely over
    straight: int = 0  # came straight to us lately

    @property
    def present(self) -> int:
        """Machines that report."""
        return self.machines - self.unheard

    @property
    def recent(self) -> int:
        """Machines that fell silent within their lease, so that what they run may go on."""
        return self.unheard - self.lapsed
