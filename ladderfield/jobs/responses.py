"""Answers that all user requests share, and how long users wait for them."""

from __future__ import annotations

from ladderfield.http import Reply

POLL_S = 2.0  # the protocol: how long a user waits for a poll's answer
SUBMIT_S = 5.0  # and for the answer to a submission or a cancellation
USABLE_SHARE = 0.7  # of these is ours to use; the rest is for the network and the client


def busy(after: int) -> Reply:
    """Can't be taken now; says when to come back."""
    return Reply(503, {"error": "try again"}, retry_after=after)


def wrong_method() -> Reply:
    """The path is known, the method isn't."""
    return Reply(405, {"error": "method"})


def no_such_job() -> Reply:
    """The id was never accepted."""
    return Reply(404, {"error": "no such job"})
