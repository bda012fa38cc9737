"""What controllers say to each other over ``back``: binary frames, one question and one answer at a time.

Four things need it: a worker that can't reach the leader gets its report relayed, if need be by way of a third
controller; each learns how the others are: whether the state service serves them, that they are not leader, and
who is; a leader learns of cancellations that it can't see on record (``cancellation_sync.py``); and controllers tell
each other which workers they reach (``connectivity/exchange.py``). So a leader that
the state service alone has lost steps down as soon as its successor can be asked, and a controller without the state
service still sends workers to the right place.

    frame:  magic 2s | version B | kind B | status H | length I | body
    health: leads B | epoch Q | name of that epoch's leader

The last three kinds are sent only to who has said on record that it takes them (``rollout.py``).

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

HEAD = struct.Struct("!2sBBHI")
MAGIC, VERSION = b"lf", 2
BODY_MOST = 64 * 1024  # a report's bound, and so an answer's
RELAY, ANSWER, HEALTH, CANCELLATION_QUERY, CANCELLATION_NOTICE, REACH = 1, 2, 3, 4, 5, 6
SELF = struct.Struct("!BQ")  # in the answer to HEALTH: may be leader itself | highest epoch known, then its leader
BACK_SHARE = 1 / 14  # of the sockets: what the others may open to us, and so we to them all together


def back_most(max_connections: int) -> int:
    """How many connections the other controllers may have open to one."""
    return max(8, int(max_connections * BACK_SHARE))


class FrameError(Exception):
    """Not a frame of ours: the connection is closed."""


def pack(kind: int, status: int, body: bytes) -> bytes:
    """A frame."""
    if len(body) > BODY_MOST:
        raise FrameError(f"{len(body)} bytes are too many")
    return HEAD.pack(MAGIC, VERSION, kind, status, len(body)) + body


def unpack_head(head: bytes) -> tuple[int, int, int]:
    """Kind, status and length of the body to come."""
    magic, version, kind, status, length = HEAD.unpack(head)
    if magic != MAGIC or version != VERSION or not RELAY <= kind <= REACH or length > BODY_MOST:
        raise FrameError(f"{head.hex()} is no frame head")
    return kind, status, length


async def _exactly(stream: trio.abc.Stream, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        data = await stream.receive_some(size - len(parts))
        if not data:
            raise EOFError
        parts += data
    return bytes(parts)


async def read(stream: trio.abc.Stream) -> tuple[int, int, bytes]:
    """The next frame; EOFError when the other side is done."""
    kind, status, length = unpack_head(await _exactly(stream, HEAD.size))
    return kind, status, await _exactly(stream, length)


Answerer = Callable[[int, int, bytes], Awaitable[tuple[int, bytes]]]


class BackServer:
    """Answers the other controllers."""

    def __init__(self, answer: Answerer, most: int, idle_s: float, answer_s: float) -> None:
        self.answer, self.most, self.idle_s, self.answer_s = answer, most, idle_s, answer_s
        self.open = 0
        self._warned = False

    async def __call__(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a malformed frame ends it, and is told once."""
        self.open += 1
        try:
            async with stream:
                while self.open <= self.most:
                    with trio.move_on_after(self.idle_s) as scope:
                        kind, status, body = await read(stream)
                    if scope.cancelled_caught:
                        return
                    status, body = await self.answer(kind, status, body)
                    with trio.fail_after(self.answer_s):
                        await stream.send_all(pack(ANSWER, status, body))
        except FrameError as error:
            if not self._warned:
                self._warned = True
                log.warning("a malformed frame came over back: %s", error)
        except (EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        finally:
            self.open -= 1


class PeerAnswer(NamedTuple):
    """What another controller answered."""

    status: int
    body: bytes


class PeerLink:
    """Questions to one other controller."""

    def __init__(self, peer: Peer, at_once: int = 16) -> None:
        self.peer = peer
        self.at_once = at_once  # questions: the workers of a zone, or all of them, may be relayed at the same time
        self._at = address(peer.endpoint)
        self._idle: list[trio.abc.Stream] = []
        self._busy = 0
        self.reachable = True  # as of the last question
        self.state_ok = False  # whether the state service serves it, as it last said
        self.leads = True  # whether it may be leader, as it last said; silence proves nothing
        self.knows: tuple[int, str] = (0, "")  # the highest epoch it knows, and that epoch's leader

    async def ask(self, kind: int, body: bytes, timeout: float, status: int = 0) -> PeerAnswer | None:
        """The answer's status and body, or None."""
        if self._busy >= self.at_once:
            return None
        self._busy += 1
        stream: trio.abc.Stream | None = None
        whole = False
        try:
            with trio.fail_after(timeout):
                stream = self._idle.pop() if self._idle else await connect(*self._at)
                await stream.send_all(pack(kind, status, body))
                answer_kind, status, answer = await read(stream)
                whole = self.reachable = answer_kind == ANSWER
                return PeerAnswer(status, answer) if whole else None
        except (FrameError, EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self.reachable = False
            return None
        finally:
            self._busy -= 1
            if stream is not None:
                if whole and len(self._idle) < self.at_once:
                    self._idle.append(stream)
                else:
                    await trio.aclose_forcefully(stream)

    async def check(self, timeout: float) -> None:
        """Ask how the other controller is."""
        answer = await self.ask(HEALTH, b"", timeout)
        self.state_ok = answer is not None and answer.status == 200
        self.leads, self.knows = True, (0, "")
        if answer is not None and len(answer.body) >= SELF.size:
            leads, epoch = SELF.unpack_from(answer.body)
            self.leads, self.knows = bool(leads), (epoch, answer.body[SELF.size :].decode(errors="replace"))
