"""HTTP/1.1 on trio: the server, which parses with httptools, and the client, which uses h11."""

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

MAX_BODY_BYTES = 64 * 1024  # of a request, by the protocol
MAX_HEADER_BYTES = 16 * 1024  # of a request, all header fields together
KEEP_ALIVE_SHARE = 0.95  # of max_connections; with more open, each connection is closed after its reply
PHRASES = {status.value: status.phrase for status in HTTPStatus}
READ_BYTES = 32 * 1024
encode = msgspec.json.encode


class Request:
    """A request as a handler sees it."""

    __slots__ = ("body", "method", "path")

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self.method, self.path, self.body = method, path, body


class Reply:
    """A handler's response; ``retry_after`` tells a rejected client in how many seconds to retry."""

    __slots__ = ("body", "close", "retry_after", "status")

    def __init__(self, status: int, body: Any = None, retry_after: int | None = None, close: bool = False) -> None:
        self.status, self.retry_after, self.close = status, retry_after, close
        self.body = encode({} if body is None else body)


Handler = Callable[[Request], Awaitable[Reply]]


class RequestReader:
    """Collects complete requests from the bytes of one connection, through the parser's callbacks."""

    __slots__ = (
        "_body",
        "_header_bytes",
        "_path",
        "_pending_bytes",
        "error_status",
        "expects_continue",
        "parser",
        "requests",
    )

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[tuple[Request, bool]] = deque()  # with whether the connection stays open after it
        self.error_status = 0  # the status for input that can't be served, 0 if there is none
        self.expects_continue = False  # the client waits for a 100 response before it sends the body
        self._path, self._body = b"", bytearray()
        self._header_bytes = self._pending_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self._pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error_status = self.error_status or 400
        if self._pending_bytes > MAX_BODY_BYTES + MAX_HEADER_BYTES:
            self.error_status = self.error_status or 413

    def has_partial_request(self) -> bool:
        """Whether a request has arrived in part."""
        return self._pending_bytes > 0

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._path, self._header_bytes = b"", 0
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the path."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check a header field against the limits, and note ``Expect: 100-continue``."""
        name = name.lower()
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > MAX_HEADER_BYTES:
            self.error_status = 431
        if name == b"content-length" and value.isdigit() and int(value) > MAX_BODY_BYTES:
            self.error_status = 413
        elif name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self.error_status = 413

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._pending_bytes, self.expects_continue = 0, False
        if self.error_status:
            return
        request = Request(self.parser.get_method().decode(), self._path.decode("latin-1"), bytes(self._body))
        self.requests.append((request, self.parser.should_keep_alive()))


def response_head(reply: Reply, close: bool) -> bytes:
    """The status line and header fields of a reply."""
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
    """Serves keep-alive connections; those above ``max_connections`` are answered 503 and closed.

    It parses with httptools rather than with h11 as the client does: with 1,000 machines that report every two seconds,
    h11 alone took more than half of the leader's share of a core (docs/design.md, "Libraries").
    """

    def __init__(self, handler: Handler, max_connections: int, request_timeout_s: float, idle_timeout_s: float) -> None:
        self.handler, self.max_connections = handler, max_connections
        self.request_timeout_s, self.idle_timeout_s = request_timeout_s, idle_timeout_s
        self.open = 0

    async def __call__(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it closes; an error of the peer ends no other connection."""
        self.open += 1
        try:
            # One scope with a moving deadline: a scope for each step would make up a tenth of a request's cost.
            async with stream:
                with trio.CancelScope() as scope:
                    await self._serve(stream, scope)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self.open -= 1

    async def _serve(self, stream: trio.abc.Stream, scope: trio.CancelScope) -> None:
        reader = RequestReader()
        while await self._receive(reader, stream, scope):
            if reader.requests:
                request, keep_alive = reader.requests.popleft()
                scope.deadline = math.inf  # handlers have timeouts of their own
                reply = await self._answer(request)
            else:
                reply, keep_alive = Reply(reader.error_status, {"error": "bad request"}), False
            # When few sockets are free, each is released after one request so that all clients are served.
            keep_alive = keep_alive and not reply.close and self.open <= self.max_connections * KEEP_ALIVE_SHARE
            scope.deadline = trio.current_time() + self.request_timeout_s
            await stream.send_all(response_head(reply, not keep_alive) + reply.body)
            if not keep_alive:
                return

    async def _answer(self, request: Request) -> Reply:
        if self.open > self.max_connections:
            return Reply(503, {"error": "too many connections"}, retry_after=1, close=True)
        try:
            return await self.handler(request)
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            return Reply(500, {"error": "internal"})

    async def _receive(self, reader: RequestReader, stream: trio.abc.Stream, scope: trio.CancelScope) -> bool:
        """Wait for a complete request or for invalid input; False when the peer has closed the connection.

        The scope's deadline ends the connection of a peer that is idle for too long or sends too slowly.
        """
        if reader.requests:
            return True
        # Above the limit a connection stays open only for long enough to be answered 503.
        scope.deadline = trio.current_time() + (
            self.idle_timeout_s if self.open <= self.max_connections else self.request_timeout_s / 10
        )
        while not reader.requests and not reader.error_status:
            partial = reader.has_partial_request()
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return False
            reader.feed(bytes(data))
            if not partial:
                scope.deadline = min(scope.deadline, trio.current_time() + self.request_timeout_s)
            if reader.expects_continue and not reader.requests and not reader.error_status:
                reader.expects_continue = False
                await stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True


class NoAnswerError(Exception):
    """No usable response arrived; the request may have been carried out or may still be."""


async def connect(host: str, port: int) -> trio.abc.Stream:
    """Open a TCP connection to a numeric address."""
    socket = trio.socket.socket()
    try:
        await socket.connect((host, port))
    except BaseException:
        socket.close()
        raise
    return trio.SocketStream(socket)


class Client:
    """Sends requests to one address over a few keep-alive connections; the caller bounds how many run concurrently."""

    def __init__(self, host: str, port: int, max_idle: int = 4, max_response_bytes: int = 64 * 1024 * 1024) -> None:
        self.host, self.port, self.max_idle, self.max_response_bytes = host, port, max_idle, max_response_bytes
        self._idle: list[tuple[trio.abc.Stream, h11.Connection]] = []
        self._origin = f"{host}:{port}"

    async def call(self, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        """Status and body of the response; NoAnswerError if none arrives within the timeout.

        A request on an idle connection that the peer has closed is not retried here: whether it was carried out is
        unknown, and only the caller knows whether a repeat is harmless.
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
        kept = False
        try:
            await stream.send_all(self._request(connection, method, target, body))
            status, answer = await self._response(connection, stream)
            if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
                connection.start_next_cycle()
                if len(self._idle) < self.max_idle:
                    self._idle.append((stream, connection))
                    kept = True
            return status, answer
        finally:
            if not kept:
                await trio.aclose_forcefully(stream)

    def _request(self, connection: h11.Connection, method: str, target: str, body: Any) -> bytes:
        """A request, encoded."""
        payload = b"" if body is None else encode(body)
        headers = [("Host", self._origin), ("Content-Length", str(len(payload)))]
        data = connection.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if payload:
            data += connection.send(h11.Data(data=payload)) or b""
        return data + (connection.send(h11.EndOfMessage()) or b"")

    async def _response(self, connection: h11.Connection, stream: trio.abc.Stream) -> tuple[int, bytes]:
        """Read a complete response and return its status and body."""
        status, parts, size = 0, [], 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.max_response_bytes:
                    raise OSError("the response body is too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("connection closed before the response was complete")

    async def close_idle(self) -> None:
        """Close the idle connections; after a failed request they may be broken too."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop()[0])


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object from a service's response; NoAnswerError if it is anything else."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        raise NoAnswerError("the response is not JSON") from None
    if not isinstance(value, dict):
        raise NoAnswerError("the response is not a JSON object")
    return value
