"""What the leader knows of the launch of one attempt, and how that changes."""

from __future__ import annotations

import math


class Launch:
    """The latest launch order of one attempt.

    Whether pushed copies of it may still be carried out is not known here, but by ``leader.fencing``.
    """

    __slots__ = ("inherited", "sent_at", "sequence", "session")

    def __init__(self) -> None:
        self.inherited = False  # an earlier leader made the claim, and may or may not have sent the launch
        self.session: int | None = None  # of the worker that it was sent to; None if no launch is outstanding
        self.sent_at = -math.inf
        self.sequence = 0  # number of the report that it answered; for a push, of the last report before it

    @property
    def may_be_outstanding(self) -> bool:
        """Whether this leader or an earlier one may have sent it."""
        return self.inherited or self.session is not None

    def was_sent_within(self, seconds: float, now: float) -> bool:
        """Whether a launch is outstanding that is not older than that."""
        return self.session is not None and now - self.sent_at <= seconds

    def sent(self, session: int, sequence: int, now: float) -> None:
        """The launch goes out to this session of the worker."""
        self.session, self.sequence, self.sent_at = session, sequence, now

    def listed(self, session: int) -> None:
        """The worker lists the attempt, whoever sent the launch."""
        self.session, self.inherited = session, False

    def refused(self) -> None:
        """The worker refused the launch, so that it has to be sent again."""
        self.session = None

    def lost(self) -> None:
        """The answer that carried the launch has not arrived and can't any more."""
        self.session, self.inherited = None, False
