"""Client of the cloud API, within the deployment's rate limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from ladderfield.budget import Budget
from ladderfield.connectivity.links import Exchange, exchange_for_status
from ladderfield.http import Client, NoAnswerError, decode_object
from ladderfield.settings import Settings, address

MAX_RENTED_PER_CALL, MAX_DELETED_PER_CALL, MAX_LISTED_PER_CALL = 50, 100, 500  # set by the protocol
CALL_TIMEOUT_S = 4.0


class CloudError(Exception):
    """The cloud gave no usable answer; the request may have been carried out."""


class NoCapacityError(Exception):
    """The cloud has no machine of this type, zone and kind (spot or on-demand)."""


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine as the cloud lists it."""

    host: str = msgspec.field(name="uid")
    type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    phase: str
    rented_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="heldS", default=0.0)
    endpoint: str | None = None


class Cloud:
    """Client of the cloud API."""

    def __init__(self, settings: Settings) -> None:
        self._client = Client(*address(settings.outside.cloud))
        # The leader gets most of the limit: the jobs APIs only fetch machine types, while none are recorded.
        self.budget = Budget(settings.cluster.cloud.rps * 0.8)
        self.idle_budget = Budget(settings.cluster.cloud.rps * 0.2 / settings.cluster.size)

        self.observe: Callable[[Exchange], None] = lambda exchange: None  # called with the outcome of each call

    async def _call(
        self, method: str, target: str, body: Any, urgent: bool = False, may_call: Callable[[], bool] | None = None
    ) -> tuple[int, dict[str, Any]]:
        await self.budget.take(urgent=urgent)
        if may_call is not None and not may_call():
            # Checked after the wait: a leader that was suspended meanwhile may have been replaced.
            raise CloudError("no longer allowed to make this call")
        try:
            status, data = await self._client.call(method, target, body, CALL_TIMEOUT_S)
            answer = decode_object(data) if data else {}
        except NoAnswerError as error:
            self.observe(Exchange.LOST)
            await self._client.close_idle()
            raise CloudError(str(error)) from None
        self.observe(exchange_for_status(status))
        if status == 429:
            self.budget.drain()
        return status, answer

    async def types(self) -> list[Any]:
        """The machine types, in the cloud's format."""
        status, answer = await self._call("GET", "/machine_types", None)
        kinds = answer.get("flavours")
        if status != 200 or not isinstance(kinds, list):
            raise CloudError(f"listing machine types failed with status {status}")
        return kinds

    async def rent(
        self, name: str, kind: str, zone: str, spot: bool, count: int, may_call: Callable[[], bool]
    ) -> list[str]:
        """Rent up to ``count`` machines under a request name that is never used again; returns their hosts."""
        body = {"hire": name, "flavour": kind, "yard": zone, "loaners": spot, "howMany": count}
        status, answer = await self._call("POST", "/machines", body, may_call=may_call)
        if status == 503 and answer.get("error") == "no capacity":
            raise NoCapacityError
        hosts = answer.get("hosts")
        if status != 200 or not isinstance(hosts, list) or not all(isinstance(host, str) for host in hosts):
            raise CloudError(f"rent request {name} failed with status {status}")
        return hosts

    async def delete(self, hosts: list[str], may_call: Callable[[], bool]) -> None:
        """Delete machines; once this returns, they and everything on them are gone."""
        status, _ = await self._call("POST", "/machines/delete", {"hosts": hosts}, urgent=True, may_call=may_call)
        if status != 200:
            raise CloudError(f"deleting machines failed with status {status}")

    async def list(self) -> list[ListedMachine]:
        """All machines in the cloud's list."""
        result: list[ListedMachine] = []
        after = ""
        while True:
            target = f"/machines?limit={MAX_LISTED_PER_CALL}" + (f"&after={after}" if after else "")
            status, answer = await self._call("GET", target, None)
            if status != 200:
                raise CloudError(f"listing machines failed with status {status}")
            try:
                page = msgspec.convert(answer.get("hosts"), list[ListedMachine])
            except msgspec.ValidationError as error:
                raise CloudError(f"malformed list of machines: {error}") from None
            result += page
            if not answer.get("hasNext") or not page:
                return result
            after = page[-1].host
