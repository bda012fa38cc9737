"""Common replies to user requests, and the clients' timeouts."""

from __future__ import annotations

from ladderfield.http import Reply

POLL_TIMEOUT_S = 2.0  # protocol: client timeout of a poll
SUBMIT_TIMEOUT_S = 5.0  # protocol: client timeout of a submission or a cancellation
USABLE_SHARE = 0.7  # of a client timeout; the rest covers the network and the client


def unavailable(retry_after_s: int) -> Reply:
    """503 with a Retry-After header."""
    return Reply(503, {"error": "try again"}, retry_after=retry_after_s)


def method_not_allowed() -> Reply:
    """405: the path exists, but not with this method."""
    return Reply(405, {"error": "method"})


def no_such_job() -> Reply:
    """404: no job with this id was ever accepted."""
    return Reply(404, {"error": "no such job"})
