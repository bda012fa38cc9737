"""Calls to the cloud, within the deployment's limit on them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from ladderfield.budget import Budget
from ladderfield.connectivity.links import Exchange, exchange_of
from ladderfield.http import Client, NoAnswerError, decode_object
from ladderfield.settings import Settings, address

RENT_MOST, DELETE_MOST, LIST_MOST = 50, 100, 500  # the protocol's bounds per call
CALL_S = 4.0  # how long an answer is worth waiting for


class CloudError(Exception):
    """No usable answer; the request may have been carried out."""


class NoCapacityError(Exception):
    """None to be had of this type, zone and kind."""


class Listed(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    host: str = msgspec.field(name="uid")
    type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    phase: str
    held_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="heldS", default=0.0)
    endpoint: str | None = None


class Cloud:
    """The cloud's interface."""

    def __init__(self, settings: Settings) -> None:
        self._client = Client(*address(settings.outside.cloud))
        # Nearly all of the limit is the leader's; the jobs APIs only fetch the types while none are on record.
        self.budget = Budget(settings.cluster.cloud.rps * 0.8)
        self.idle_budget = Budget(settings.cluster.cloud.rps * 0.2 / settings.cluster.size)

        self.observe: Callable[[Exchange], None] = lambda exchange: None  # told how each call ended

    async def _call(
        self, method: str, target: str, body: Any, urgent: bool = False, may: Callable[[], bool] | None = None
    ) -> tuple[int, dict[str, Any]]:
        await self.budget.take(urgent=urgent)
        if may is not None and not may():
            # Asked after the wait: a leader that stood still meanwhile may have a successor, who decides anew.
            raise CloudError("no longer ours to decide")
        try:
            status, data = await self._client.call(method, target, body, CALL_S)
            answer = decode_object(data) if data else {}
        except NoAnswerError as error:
            self.observe(Exchange.LOST)
            await self._client.drop()
            raise CloudError(str(error)) from None
        self.observe(exchange_of(status))
        if status == 429:
            self.budget.drain()
        return status, answer

    async def types(self) -> list[Any]:
        """The machine types, as the cloud words them."""
        status, answer = await self._call("GET", "/machine_types", None)
        kinds = answer.get("flavours")
        if status != 200 or not isinstance(kinds, list):
            raise CloudError(f"machine types: {status}")
        return kinds

    async def rent(self, name: str, kind: str, zone: str, spot: bool, count: int, may: Callable[[], bool]) -> list[str]:
        """Rent up to ``count`` machines under a name that is never used for anything else."""
        body = {"hire": name, "flavour": kind, "yard": zone, "loaners": spot, "howMany": count}
        status, answer = await self._call("POST", "/machines", body, may=may)
        if status == 503 and answer.get("error") == "no capacity":
            raise NoCapacityError
        hosts = answer.get("hosts")
        if status != 200 or not isinstance(hosts, list) or not all(isinstance(host, str) for host in hosts):
            raise CloudError(f"hire {name}: {status}")
        return hosts

    async def delete(self, hosts: list[str], may: Callable[[], bool]) -> None:
        """Give machines up; once this returns they and all on them are gone."""
        status, _ = await self._call("POST", "/machines/delete", {"hosts": hosts}, urgent=True, may=may)
        if status != 200:
            raise CloudError(f"delete: {status}")

    async def list(self) -> list[Listed]:
        """All machines the cloud lists."""
        result: list[Listed] = []
        after = ""
        while True:
            target = f"/machines?limit={LIST_MOST}" + (f"&after={after}" if after else "")
            status, answer = await self._call("GET", target, None)
            if status != 200:
                raise CloudError(f"list: {status}")
            try:
                page = msgspec.convert(answer.get("hosts"), list[Listed])
            except msgspec.ValidationError as error:
                raise CloudError(f"list: {error}") from None
            result += page
            if not answer.get("hasNext") or not page:
                return result
            after = page[-1].host
