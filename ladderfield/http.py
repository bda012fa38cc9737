"""HTTP/1.1 over trio, with h11 doing the protocol: the one server and the one client of this program."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import msgspec
import trio

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024  # the protocol's bound on a request body
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

    def __init__(self, status: int, body: Any = None, retry_after: int | None = None, close: bool = False):
        self.status, self.retry_after, self.close = status, retry_after, close
        self.body = encode({} if body is None else body)


Handler = Callable[[Request], Awaitable[Reply]]


class Refused(Exception):
    """The client's bytes are no request that can be served; answered and closed."""

    def __init__(self, status: int) -> None:
        self.status = status


class Server:
    """Serves keep-alive connections, so many at once; more are told 503 and closed at once."""

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
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError, OSError):
            pass
        finally:
            self.open -= 1

    async def _serve(self, stream: trio.abc.Stream, scope: trio.CancelScope) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        while True:
            try:
                request = await self._receive(connection, stream, scope)
            except (Refused, h11.RemoteProtocolError) as error:
                status = error.status if isinstance(error, Refused) else 400
                if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    reply = Reply(status, {"error": "bad request"}, close=True)
                    await self._send(connection, stream, scope, reply)
                return
            if request is None:
                return
            scope.deadline = math.inf  # a handler bounds itself
            if self.open > self.most:
                reply = Reply(503, {"error": "too many connections"}, retry_after=1, close=True)
            else:
                try:
                    reply = await self.handler(request)
                except Exception:
                    log.exception("%s %s failed", request.method, request.path)
                    reply = Reply(500, {"error": "internal"})
            await self._send(connection, stream, scope, reply)
            if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _receive(
        self, connection: h11.Connection, stream: trio.abc.Stream, scope: trio.CancelScope
    ) -> Request | None:
        """The next whole request, or None when the peer is gone; the scope ends for one silent for long or too slow."""
        head: h11.Request | None = None
        body = bytearray()
        # Over the limit a connection is kept just long enough to be told so.
        scope.deadline = trio.current_time() + (self.idle_s if self.open <= self.most else self.request_s / 10)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_SIZE)
                if head is None and data:
                    scope.deadline = min(scope.deadline, trio.current_time() + self.request_s)
                connection.receive_data(bytes(data))
                continue
            if isinstance(event, h11.Request):
                head = event
                scope.deadline = trio.current_time() + self.request_s
                for name, value in event.headers:
                    if name == b"content-length" and int(value) > BODY_LIMIT:
                        raise Refused(413)
                if connection.they_are_waiting_for_100_continue:
                    await stream.send_all(
                        connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                    )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_LIMIT:
                    raise Refused(413)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Request(head.method.decode(), head.target.decode("latin-1"), bytes(body))
            else:
                return None

    async def _send(
        self, connection: h11.Connection, stream: trio.abc.Stream, scope: trio.CancelScope, reply: Reply
    ) -> None:
        """The scope ends for a peer that reads too slowly."""
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(reply.body)))]
        if reply.retry_after is not None:
            headers.append(("Retry-After", str(reply.retry_after)))
        if reply.close:
            headers.append(("Connection", "close"))
        data = connection.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        data += connection.send(h11.Data(data=reply.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        scope.deadline = trio.current_time() + self.request_s
        await stream.send_all(data)


class NoAnswer(Exception):
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
        """Status and body of the answer; NoAnswer if none comes in time.

        A kept connection that the peer closed meanwhile is not tried again here: whether the request was
        carried out is then unknown, and only the caller knows whether a repeat is harmless.
        """
        try:
            with trio.fail_after(timeout):
                return await self._call(method, target, body)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise NoAnswer(f"{method} {target}: {error or type(error).__name__}") from None
        except (trio.TooSlowError, h11.ProtocolError) as error:
            raise NoAnswer(f"{method} {target}: {type(error).__name__} {error}") from None

    async def _call(self, method: str, target: str, body: Any) -> tuple[int, bytes]:
        if self._idle:
            stream, connection = self._idle.pop()
        else:
            stream, connection = await connect(self.host, self.port), h11.Connection(h11.CLIENT)
        done = False
        try:
            payload = b"" if body is None else encode(body)
            headers = [("Host", self._origin), ("Content-Length", str(len(payload)))]
            data = connection.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if payload:
                data += connection.send(h11.Data(data=payload)) or b""
            data += connection.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
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
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise OSError("closed before an answer")
            if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
                connection.start_next_cycle()
                if len(self._idle) < self.keep:
                    self._idle.append((stream, connection))
                    done = True
            return status, b"".join(parts)
        finally:
            if not done:
                await trio.aclose_forcefully(stream)

    async def drop(self) -> None:
        """Close the kept connections (after a failure they are suspect)."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop()[0])


def decode_object(body: bytes) -> dict[str, Any]:
    """A JSON object from a service's answer; NoAnswer if it is anything else."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        raise NoAnswer("the answer is not JSON") from None
    if not isinstance(value, dict):
        raise NoAnswer("the answer is not an object")
    return value
