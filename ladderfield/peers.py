"""The protocol between controllers over ``back``: binary frames, one request and one answer at a time on a connection.

It has four uses. The report of a worker that can't reach the leader is relayed, if need be by a third controller. Each
controller learns whether the state service serves the others, whether they may be leader, and whom they know as leader.
A leader learns of cancellations that it can't read from the state service (``cancellation_sync.py``). Controllers tell
each other which workers they reach (``connectivity/exchange.py``). So a leader that has lost only the state service
steps down as soon as it can ask its successor, and a controller without the state service still sends workers to the
right place.

    frame:  magic 2s | version B | kind B | status H | length I | body
    health: may be leader B | epoch Q | name of that epoch's leader

The last three kinds are sent only to controllers that have recorded that they understand them (``rollout.py``).

``status`` is an HTTP status in answers, and in a relay the number of controllers that have carried it already.
"""

from __future__ import annotations

import logging
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from ladderfield.http import connect
from ladderfield.settings import Peer, address

log = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct("!2sBBHI")
MAGIC, PROTOCOL_VERSION = b"lf", 2
MAX_BODY_BYTES = 64 * 1024  # the limit on a report, and so on an answer
RELAY, ANSWER, HEALTH, CANCELLATION_QUERY, CANCELLATION_NOTICE, REACH = 1, 2, 3, 4, 5, 6
HEALTH_BODY = struct.Struct("!BQ")  # in the answer to HEALTH: may be leader | highest epoch known, then its leader
BACK_SOCKETS_SHARE = 1 / 14  # of the sockets: connections from the other controllers, and as many to them


def max_back_connections(max_connections: int) -> int:
    """How many connections the other controllers together may open to one controller."""
    return max(8, int(max_connections * BACK_SOCKETS_SHARE))


class FrameError(Exception):
    """A malformed frame: the connection is closed."""


def pack(kind: int, status: int, body: bytes) -> bytes:
    """Encode a frame."""
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"{len(body)} bytes are too many for the body of a frame")
    return FRAME_HEADER.pack(MAGIC, PROTOCOL_VERSION, kind, status, len(body)) + body


def unpack_header(head: bytes) -> tuple[int, int, int]:
    """The kind, the status and the length of the body."""
    magic, version, kind, status, length = FRAME_HEADER.unpack(head)
    if magic != MAGIC or version != PROTOCOL_VERSION or not RELAY <= kind <= REACH or length > MAX_BODY_BYTES:
        raise FrameError(f"{head.hex()} is not a frame header")
    return kind, status, length


async def _receive_exactly(stream: trio.abc.Stream, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        data = await stream.receive_some(size - len(parts))
        if not data:
            raise EOFError
        parts += data
    return bytes(parts)


async def read_frame(stream: trio.abc.Stream) -> tuple[int, int, bytes]:
    """The next frame; EOFError when the other side has closed the connection."""
    kind, status, length = unpack_header(await _receive_exactly(stream, FRAME_HEADER.size))
    return kind, status, await _receive_exactly(stream, length)


RequestHandler = Callable[[int, int, bytes], Awaitable[tuple[int, bytes]]]


class BackServer:
    """Answers the requests of the other controllers."""

    def __init__(self, answer: RequestHandler, max_connections: int, idle_s: float, answer_s: float) -> None:
        self.answer, self.max_connections, self.idle_s, self.answer_s = answer, max_connections, idle_s, answer_s
        self.open = 0
        self._warned = False

    async def __call__(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a malformed frame closes it, and only the first one is logged."""
        self.open += 1
        try:
            async with stream:
                while self.open <= self.max_connections:
                    with trio.move_on_after(self.idle_s) as scope:
                        kind, status, body = await read_frame(stream)
                    if scope.cancelled_caught:
                        return
                    status, body = await self.answer(kind, status, body)
                    with trio.fail_after(self.answer_s):
                        await stream.send_all(pack(ANSWER, status, body))
        except FrameError as error:
            if not self._warned:
                self._warned = True
                log.warning("malformed frame on back: %s", error)
        except (EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        finally:
            self.open -= 1


class PeerAnswer(NamedTuple):
    """An answer of another controller."""

    status: int
    body: bytes


class PeerLink:
    """Requests to one other controller."""

    def __init__(self, peer: Peer, max_requests: int = 16) -> None:
        self.peer = peer
        self.max_requests = (
            max_requests  # in flight: the workers of a zone, or all of them, may be relayed at the same time
        )
        self._address = address(peer.endpoint)
        self._idle: list[trio.abc.Stream] = []
        self._in_flight = 0
        self.reachable = True  # as of the last request
        self.state_ok = False  # whether the state service serves it, by its last answer
        self.may_lead = True  # whether it may be leader, by its last answer; silence proves nothing
        self.latest_known: tuple[int, str] = (0, "")  # the highest epoch it knows, and that epoch's leader

    async def ask(self, kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        """Send a request; the answer, or None."""
        if self._in_flight >= self.max_requests:
            return None
        self._in_flight += 1
        stream: trio.abc.Stream | None = None
        complete = False
        try:
            with trio.fail_after(timeout):
                stream = self._idle.pop() if self._idle else await connect(*self._address)
                await stream.send_all(pack(kind, status, body))
                answer_kind, status, answer = await read_frame(stream)
                complete = self.reachable = answer_kind == ANSWER
                return PeerAnswer(status, answer) if complete else None
        except (FrameError, EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self.reachable = False
            return None
        finally:
            self._in_flight -= 1
            if stream is not None:
                if complete and len(self._idle) < self.max_requests:
                    self._idle.append(stream)
                else:
                    await trio.aclose_forcefully(stream)

    async def check(self, timeout: float) -> None:
        """Ask for the health of the other controller."""
        answer = await self.ask(HEALTH, b"", timeout)
        self.state_ok = answer is not None and answer.status == 200
        self.may_lead, self.latest_known = True, (0, "")
        if answer is not None and len(answer.body) >= HEALTH_BODY.size:
            may_lead, epoch = HEALTH_BODY.unpack_from(answer.body)
            self.may_lead, self.latest_known = (
                bool(may_lead),
                (epoch, answer.body[HEALTH_BODY.size :].decode(errors="replace")),
            )
