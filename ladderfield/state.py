"""The HTTP client of the state service, which keeps within this controller's share of the limits on calls."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import trio

from ladderfield.budget import Budget
from ladderfield.connectivity.links import Exchange, exchange_for_status
from ladderfield.connectivity.reachability import LinkKind
from ladderfield.http import Client, NoAnswerError, decode_object
from ladderfield.settings import Settings, address

log = logging.getLogger(__name__)

PREFIX = "lf/"
UNUSED_PREFIX = "lf-none/"  # no key has this prefix: listing it returns only the revision
PAGE_LIMIT = 1000  # keys


class Pair(msgspec.Struct, frozen=True):
    """A key as the service lists it."""

    key: str
    revision: int = msgspec.field(name="stamp")
    value: Any = None


class KeyStatus(msgspec.Struct, frozen=True):
    """When a key was last changed, and the lease that it is attached to, if any."""

    revision: int = msgspec.field(name="stamp")
    lease_id: int | None = msgspec.field(name="hold", default=None)


class Page(msgspec.Struct, frozen=True):
    """One page of a listing of keys."""

    pairs: list[Pair]
    revision: int = msgspec.field(name="ledger")
    has_more: bool = msgspec.field(name="hasNext", default=False)


class PartialPage(Page, frozen=True):
    """A page without the keys of it that can't be read."""


class Event(msgspec.Struct, frozen=True):
    """A change: ``put`` or ``delete`` is the key."""

    revision: int = msgspec.field(name="stamp")
    put: str | None = None
    delete: str | None = None
    value: Any = None


class WatchAnswer(msgspec.Struct, frozen=True):
    """The answer of a watch."""

    revision: int = msgspec.field(name="ledger")
    events: list[Event]


class StateServiceError(Exception):
    """The state service did not carry out the request, or did not confirm it."""


class UnansweredError(StateServiceError):
    """No usable answer arrived: the request may have been carried out, or may still be."""


class MalformedAnswerError(StateServiceError):
    """The answer is not what the protocol says."""


class WriteRefusedError(StateServiceError):
    """The state service rejects this write as it is: it was not carried out, and a retry is useless."""


class Outcome:
    """The result of a transaction: the revision at which it was applied, or the keys whose guards failed."""

    __slots__ = ("failed", "revision")

    def __init__(self, revision: int, failed: list[str] | None) -> None:
        self.revision, self.failed = revision, failed


class StateClient:
    """Calls to the state service within this controller's share of the limits."""

    def __init__(self, settings: Settings) -> None:
        limits, size = settings.cluster.state, settings.cluster.size
        host, port = address(settings.outside.state)
        self._client = Client(host, port)
        self._watcher = Client(host, port, max_idle=1)
        # Nearly half of the writes is for the leader, half is shared by the jobs APIs of the controllers. Every change
        # wakes the watches of all controllers, so they have a share of the calls of their own; a tenth is left for
        # lease renewals.
        self.writes = Budget(limits.write_rps * 0.5 / size)
        self.leader_writes = Budget(limits.write_rps * 0.45)
        self.watches = Budget(limits.rps * 0.4 / size)
        self.calls = Budget(limits.rps * 0.3 / size)
        self.leader_calls = Budget(limits.rps * 0.2)
        self.observe: Callable[[LinkKind, Exchange], None] = lambda link, exchange: (
            None
        )  # called with the outcome of each call
        self.answered_at = -math.inf  # when the service last answered with anything but 429 or 5xx

    async def _call(
        self, method: str, target: str, body: Any, timeout: float, client: Client | None = None
    ) -> tuple[int, dict[str, Any]]:
        client = client or self._client
        try:
            status, data = await client.call(method, target, body, timeout)
            answer = decode_object(data) if data else {}
        except NoAnswerError as error:
            self.observe(_link_of(method, target), Exchange.LOST)
            await client.close_idle()
            raise UnansweredError(str(error)) from None
        self.observe(_link_of(method, target), exchange_for_status(status))
        if status == 429:
            self.calls.drain()
        if status >= 500 or status == 429:
            raise StateServiceError(f"{method} {target}: {status}")
        self.answered_at = trio.current_time()
        return status, answer

    async def read_revision(self, timeout: float) -> int:
        """The current revision, read from the service."""
        status, answer = await self._call("GET", f"/keys?starts={UNUSED_PREFIX}&limit=1", None, timeout)
        revision = answer.get("ledger")
        if status != 200 or not isinstance(revision, int):
            raise StateServiceError(f"no revision in the answer: {status}")
        return revision

    async def take_page_token(self) -> None:
        """Take a token for a page of keys. While keys are read, the watch waits, so that its share is free as well."""
        await min(self.watches, self.calls, key=Budget.delay).take()

    async def page(self, after: str, timeout: float) -> Page:
        """One page of keys, those after ``after``."""
        target = f"/keys?starts={PREFIX}&limit={PAGE_LIMIT}" + (f"&after={after}" if after else "")
        status, answer = await self._call("GET", target, None, timeout)
        try:
            return _converted(status, answer, Page)
        except MalformedAnswerError:
            return _without_malformed_pairs(answer)

    async def key_status(self, key: str, timeout: float) -> KeyStatus | None:
        """The current status of a key, or None if it does not exist."""
        status, answer = await self._call("GET", f"/keys/{key}", None, timeout)
        return None if status == 404 else _converted(status, answer, KeyStatus)

    async def revision_of(self, key: str, timeout: float) -> int:
        """The current revision of a key, 0 if it does not exist."""
        found = await self.key_status(key, timeout)
        return 0 if found is None else found.revision

    async def commit(
        self,
        guards: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str],
        timeout: float,
        lease_id: int | None = None,
        leased_key: str | None = None,
    ) -> Outcome:
        """One transaction; the put of ``leased_key`` is attached to the lease ``lease_id``."""
        body = _transaction(guards, puts, deletes, lease_id, leased_key)
        status, answer = await self._call("POST", "/multi", body, timeout)
        revision, failed = answer.get("ledger"), answer.get("failed")
        if status == 200 and isinstance(revision, int):
            return Outcome(revision, None)
        if status == 409 and isinstance(failed, list) and isinstance(revision, int):
            return Outcome(revision, [str(key) for key in failed])
        if status == 400:
            raise WriteRefusedError(f"commit: {answer}")
        raise StateServiceError(f"commit: {status} {answer}")

    async def grant_lease(self, ttl_s: float, timeout: float) -> int:
        """Create a lease and return its id."""
        status, answer = await self._call("POST", "/grants", {"ttlMs": round(ttl_s * 1000)}, timeout)
        lease_id = answer.get("hold")
        if status != 200 or not isinstance(lease_id, int):
            raise StateServiceError(f"no lease in the answer: {status}")
        return lease_id

    async def renew_lease(self, lease_id: int, timeout: float) -> bool:
        """Renew a lease; False if it has expired."""
        status, _ = await self._call("POST", f"/grants/{lease_id}/touch", {}, timeout)
        return status == 200

    async def release_lease(self, lease_id: int, timeout: float) -> None:
        """End a lease at once, which deletes the keys attached to it."""
        await self._call("DELETE", f"/grants/{lease_id}", None, timeout)

    async def watch(self, after: int, wait_s: float) -> WatchAnswer | None:
        """Changes after a revision, or None if the service no longer keeps changes that old."""
        await self.watches.take()
        target = f"/watch?starts={PREFIX}&after={after}&waitMs={round(wait_s * 1000)}"
        status, answer = await self._call("GET", target, None, wait_s * 2, self._watcher)
        return None if status == 410 else _converted(status, answer, WatchAnswer)


def _link_of(method: str, target: str) -> LinkKind:
    """Which link to the state service a call uses."""
    if target.startswith("/watch"):
        return LinkKind.STATE_WATCH
    return LinkKind.STATE_READ if method == "GET" else LinkKind.STATE_WRITE


def _transaction(
    guards: dict[str, int], puts: dict[str, Any], deletes: list[str], lease_id: int | None, leased_key: str | None
) -> dict[str, Any]:
    """The body of a transaction request."""
    apply: list[dict[str, Any]] = []
    for key, value in puts.items():
        put = {"put": key, "value": value}
        if key == leased_key:
            put["hold"] = lease_id
        apply.append(put)
    apply += [{"delete": key} for key in deletes]
    return {"guards": [{"key": key, "stamp": revision} for key, revision in guards.items()], "apply": apply}


Answer = TypeVar("Answer")


def _converted(status: int, answer: dict[str, Any], kind: type[Answer]) -> Answer:
    """The answer as ``kind``; a malformed answer counts as an error."""
    if status != 200:
        raise StateServiceError(f"{kind.__name__}: {status}")
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise MalformedAnswerError(f"{kind.__name__}: {error}") from None


def _without_malformed_pairs(answer: dict[str, Any]) -> PartialPage:
    """A page without the keys that can't be read, so that one of them does not keep the others from being read."""
    pairs: list[Any] = []
    found = answer.get("pairs")
    for raw in found if isinstance(found, list) else ():
        try:
            msgspec.convert(raw, Pair)
        except msgspec.ValidationError as error:
            log.error("left out a key that can't be read: %.200r: %s", raw, error)
        else:
            pairs.append(raw)
    return _converted(200, answer | {"pairs": pairs}, PartialPage)
