"""HTTP/1.1 over trio: the one server, which httptools parses for, and the one client of this program, on h11."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11
import httptools
import msgspec
import trio

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024  # the protocol's bound on a request body
HEAD_LIMIT = 16 * 1024  # of all before the body
CROWDED = 0.95  # of the connections a server may have: above, none is kept open
PHRASES = {status.value: status.phrase for status in HTTPStatus}
READ_SIZE = 32 * 1024
encode = msgspec.json.encode


class Request:
    """A request as a handler sees it."""

    __slots__ = ("body", "method", "path")

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self.method, self.path, self.body = method, path, body


class Reply:
    """What a handler answers; ``retry_after`` tells a turned-away client when to come back."""

    __slots__ = ("body", "close", "retry_after", "status")

    def __init__(self, status: int, body: Any = None, retry_after: int | None = None, close: bool = False) -> None:
        self.status, self.retry_after, self.close = status, retry_after, close
        self.body = encode({} if body is None else body)


Handler = Callable[[Request], Awaitable[Reply]]


class Reader:
    """Takes a connection's bytes in and gives whole requests out; the parser calls it back."""

    __slots__ = ("_body", "_head", "_path", "_unfinished", "parser", "refused", "requests", "waits")

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[tuple[Request, bool]] = deque()  # and whether the connection stays open after it
        self.refused = 0  # the status for bytes that are no request that can be served
        self.waits = False  # the peer waits for a 100 before it sends the body
        self._path, self._body = b"", bytearray()
        self._head = self._unfinished = 0

    def feed(self, data: bytes) -> None:
        """More bytes came."""
        self._unfinished += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refused = self.refused or 400
        if self._unfinished > BODY_LIMIT + HEAD_LIMIT:
            self.refused = self.refused or 413

    def begun(self) -> bool:
        """Whether a part of a request is here."""
        return self._unfinished > 0

    def on_message_begin(self) -> None:
        """A request begins."""
        self._path, self._head = b"", 0
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Its path, or a part of it."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One of its headers."""
        name = name.lower()
        self._head += len(name) + len(value) + 4
        if self._head > HEAD_LIMIT:
            self.refused = 431
        if name == b"content-length" and value.isdigit() and int(value) > BODY_LIMIT:
            self.refused = 413
        elif name == b"expect" and value.lower() == b"100-continue":
            self.waits = True

    def on_body(self, body: bytes) -> None:
        """A part of its body."""
        self._body += body
        if len(self._body) > BODY_LIMIT:
            self.refused = 413

    def on_message_complete(self) -> None:
        """It is whole."""
        self._unfinished, self.waits = 0, False
        if self.refused:
            return
        request = Request(self.parser.get_method().decode(), self._path.decode("latin-1"), bytes(self._body))
        self.requests.append((request, self.parser.should_keep_alive()))


def head(reply: Reply, close: bool) -> bytes:
    """The reply's status line and headers."""
    lines = [
        f"HTTP/1.1 {reply.status} {PHRASES.get(reply.status, '')}",
        "Content-Type: application/json",
        f"Content-Length: {len(reply.body)}",
    ]
    if reply.retry_after is not None:
        lines.append(f"Retry-After: {reply.retry_after}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "\r\n"]).encode()


class Server:
    """Serves keep-alive connections, so many at once; more are told 503 and closed at once.

    Parsed by httptools, not by h11 as the client's side is: with a thousand machines that report every two seconds h11
    alone took more than half of the leader's share of a core (docs/design.md, "Libraries").
    """

    def __init__(self, handler: Handler, most: int, request_s: float, idle_s: float) -> None:
        self.handler, self.most, self.request_s, self.idle_s = handler, most, request_s, idle_s
        self.open = 0

    async def __call__(self, stream: trio.abc.Stream) -> None:
        """Serve one connection to its end; no peer's behaviour may end more than its own connection."""
        self.open += 1
        try:
            # One scope for the connection, whose deadline moves: one for each step is a tenth of what a request costs.
            async with stream:
                with trio.CancelScope() as scope:
                    await self._serve(stream, scope)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self.open -= 1

    async def _serve(self, stream: trio.abc.Stream, scope: trio.CancelScope) -> None:
        reader = Reader()
        while await self._receive(reader, stream, scope):
            if reader.requests:
                request, stays = reader.requests.popleft()
                scope.deadline = math.inf  # a handler bounds itself
                reply = await self._answer(request)
            else:
                reply, stays = Reply(reader.refused, {"error": "bad request"}), False
            # Where sockets run short each is given back after its request, so that all get their turn at them.
            stays = stays and not reply.close and self.open <= self.most * CROWDED
            scope.deadline = trio.current_time() + self.request_s
            await stream.send_all(head(reply, not stays) + reply.body)
            if not stays:
                return

    async def _answer(self, request: Request) -> Reply:
        if self.open > self.most:
            return Reply(503, {"error": "too many connections"}, retry_after=1, close=True)
        try:
            return await self.handler(request)
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            return Reply(500, {"error": "internal"})

    async def _receive(self, reader: Reader, stream: trio.abc.Stream, scope: trio.CancelScope) -> bool:
        """Wait for a whole request, or for what can't be one; False when the peer is gone.

        The scope ends for a peer that is silent for long or too slow.
        """
        if reader.requests:
            return True
        # Over the limit a connection is kept just long enough to be told so.
        scope.deadline = trio.current_time() + (self.idle_s if self.open <= self.most else self.request_s / 10)
        while not reader.requests and not reader.refused:
            begun = reader.begun()
            data = await stream.receive_some(READ_SIZE)
            if not data:
                return False
            reader.feed(bytes(data))
            if not begun:
                scope.deadline = min(scope.deadline, trio.current_time() + self.request_s)
            if reader.waits and not reader.requests and not reader.refused:
                reader.waits = False
                await stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True


class NoAnswerError(Exception):
    """No usable answer came: the request may have been carried out, or may still be."""


async def connect(host: str, port: int) -> trio.abc.Stream:
    """A TCP connection to a numeric address."""
    socket = trio.socket.socket()
    try:
        await socket.connect((host, port))
    except BaseException:
        socket.close()
        raise
    return trio.SocketStream(socket)


class Client:
    """Requests to one address over a few kept connections; its caller bounds how many run at once."""

    def __init__(self, host: str, port: int, keep: int = 4, limit: int = 64 * 1024 * 1024) -> None:
        self.host, self.port, self.keep, self.limit = host, port, keep, limit
        self._idle: list[tuple[trio.abc.Stream, h11.Connection]] = []
        self._origin = f"{host}:{port}"

    async def call(self, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        """Status and body of the answer; NoAnswerError if none comes in time.

        A kept connection that the peer closed meanwhile is not tried again here: whether the request was
        carried out is then unknown, and only the caller knows whether a repeat is harmless.
        """
        try:
            with trio.fail_after(timeout):
                return await self._call(method, target, body)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise NoAnswerError(f"{method} {target}: {error or type(error).__name__}") from None
        except (trio.TooSlowError, h11.ProtocolError) as error:
            raise NoAnswerError(f"{method} {target}: {type(error).__name__} {error}") from None

    async def _call(self, method: str, target: str, body: Any) -> tuple[int, bytes]:
        if self._idle:
            stream, connection = self._idle.pop()
        else:
            stream, connection = await connect(self.host, self.port), h11.Connection(h11.CLIENT)
        done = False
        try:
            await stream.send_all(self._request(connection, method, target, body))
            status, answer = await self._response(connection, stream)
            if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
                connection.start_next_cycle()
                if len(self._idle) < self.keep:
                    self._idle.append((stream, connection))
                    done = True
            return status, answer
        finally:
            if not done:
                await trio.aclose_forcefully(stream)

    def _request(self, connection: h11.Connection, method: str, target: str, body: Any) -> bytes:
        """The bytes of a request."""
        payload = b"" if body is None else encode(body)
        headers = [("Host", self._origin), ("Content-Length", str(len(payload)))]
        data = connection.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if payload:
            data += connection.send(h11.Data(data=payload)) or b""
        return data + (connection.send(h11.EndOfMessage()) or b"")

    async def _response(self, connection: h11.Connection, stream: trio.abc.Stream) -> tuple[int, bytes]:
        """Read a response to its end; its status and body."""
        status, parts, size = 0, [], 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(READ_SIZE)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limit:
                    raise OSError("the answer is too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("closed before an answer")

    async def drop(self) -> None:
        """Close the kept connections (after a failure they are suspect)."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop()[0])


def decode_object(body: bytes) -> dict[str, Any]:
    """A JSON object from a service's answer; NoAnswerError if it is anything else."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        raise NoAnswerError("the answer is not JSON") from None
    if not isinstance(value, dict):
        raise NoAnswerError("the answer is not an object")
    return value
