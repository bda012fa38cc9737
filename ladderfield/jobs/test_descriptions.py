"""Jobs whose description one record can't hold: accepted as a whole, run, and cleared away."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ladderfield.http import Reply, Request, encode
from ladderfield.jobs.descriptions import (
    DESCRIPTION_PREFIX,
    MissingDescriptionError,
    describe,
    jobs_in_record,
    number_of,
    part_key,
    recorded_spec,
)
from ladderfield.jobs.model import JobSpec
from ladderfield.leader.description_cleaner import ABANDONED_S
from ladderfield.testing import TYPES, StateService, accepted, job
from ladderfield.testing.cluster import cluster
from ladderfield.testing.jobs_api import serving_jobs_api
from ladderfield.testing.lower_limits import (
    MAX_RECORD_BYTES,
    cluster_at_lower_limits,
    incompressible_names,
    start_all,
)

UID = "req-000001"
ALL_UPGRADED = {f"lf/v/n{n}": {"level": 4} for n in range(3)}


def parts(service: StateService) -> list[str]:
    return sorted((key for key in service.keys if key.startswith(DESCRIPTION_PREFIX)), key=number_of)


@pytest.mark.parametrize("count", [1, 100, 1000, 2700])
def test_a_description_of_any_size_is_read_back_whole_or_not_at_all(count: int) -> None:
    spec = msgspec.convert(job(UID, flavours=incompressible_names(count), bundle='"\\é' * 9), JobSpec)
    description = describe(spec, MAX_RECORD_BYTES)
    records = msgspec.json.decode(encode(description.parts))
    entry = {"description": msgspec.to_builtins(description.reference)}
    assert max(len(encode(value)) for value in records.values()) <= MAX_RECORD_BYTES
    assert msgspec.convert(recorded_spec(UID, entry, records.get), JobSpec) == spec
    recorded = jobs_in_record("lf/j/x", {"jobs": {UID: entry | {"at": 1.0, "block": 2}}}, records.get)
    assert recorded.jobs[UID].spec == spec
    other = describe(msgspec.structs.replace(spec, team="blue"), MAX_RECORD_BYTES).parts
    for key in records:
        for damaged in (
            {name: value for name, value in records.items() if name != key},
            records | {key: other.get(key)},
        ):
            with pytest.raises(MissingDescriptionError):
                recorded_spec(UID, entry, damaged.get)


# Guards against: a job that allows more machine types than a record has room for was refused for good, as malformed.
async def test_a_job_that_allows_hundreds_of_types_runs_at_the_lower_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster_at_lower_limits(monkeypatch, TYPES) as whole:
        whole.state.max_page_keys = 3
        whole.cloud.capacity = 0
        whole.jobs[UID] = job(UID, rungs=1, flavours=[*incompressible_names(300), "m4"], owner="blue")
        await whole.submit_until_accepted(0, whole.jobs[UID])
        assert len(parts(whole.state)) > 2
        for number in range(3):
            whole.crash(number)
        await start_all(whole)
        assert (await whole.call(1, "POST", "/api/jobs", whole.jobs[UID]))[0] == 200
        whole.cloud.capacity = 20
        await whole.wait_for_phase(2, UID, "done", 60)
        await trio.sleep(40)
        assert not [key for key in whole.state.keys if key.startswith(("lf/j/", DESCRIPTION_PREFIX))]
        assert (await whole.call(1, "POST", "/api/jobs", whole.jobs[UID]))[1]["phase"] == "done"


async def submit(api: Any, **changes: Any) -> int:
    reply = await api(Request("POST", "/api/jobs", msgspec.json.encode(job(UID, **changes))))
    assert isinstance(reply, Reply)
    return reply.status


async def test_a_job_is_not_accepted_once_a_part_of_its_description_was_deleted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        for key, value in ALL_UPGRADED.items():
            service._apply({"guards": [], "apply": [{"put": key, "value": value}]})
        await trio.sleep(1)
        service.withholds = lambda keys: keys == [f"lf/j/{UID}"]
        flavours = [*incompressible_names(1500), "m4"]
        assert await submit(api, flavours=flavours) == 503
        service._apply({"guards": [], "apply": [{"delete": part_key(UID, 0)}]})
        assert service.apply_withheld() == [409]
        service.withholds = lambda keys: False
        await trio.sleep(5)
        assert await submit(api, flavours=flavours) == 201
        await trio.sleep(1)
        assert UID in api.lookup.dependencies
        nursery.cancel_scope.cancel()


async def test_parts_of_abandoned_submissions_are_deleted_and_others_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with cluster(monkeypatch) as whole:
        kept = await whole.submit(shape="daemon", rungs=1, flavours=[*incompressible_names(1500), "m4"])
        used = parts(whole.state)
        assert used
        spec = msgspec.convert(job("req-000002", flavours=incompressible_names(2000)), JobSpec)
        for key, value in describe(spec, MAX_RECORD_BYTES).parts.items():
            whole.state._apply({"guards": [], "apply": [{"put": key, "value": value}]})
        await trio.sleep(ABANDONED_S / 2)
        assert len(parts(whole.state)) > len(used)
        await trio.sleep(ABANDONED_S)
        assert parts(whole.state) == used
        assert await whole.phase(0, kept) == "running"


# Guards against: a deletion that arrives late takes parts from a job that was accepted, or is being written, meanwhile.
@pytest.mark.parametrize("accepted_first", [True, False])
async def test_a_late_deletion_of_parts_takes_nothing_from_a_later_submission(
    monkeypatch: pytest.MonkeyPatch, accepted_first: bool
) -> None:
    async with cluster(monkeypatch) as whole:
        body = job(UID, rungs=1, shape="daemon", flavours=[*incompressible_names(2700), "m4"])
        described = describe(msgspec.convert(body, JobSpec), MAX_RECORD_BYTES).parts
        whole.state._apply({"guards": [], "apply": [{"put": key, "value": described[key]} for key in described]})
        late = part_key(UID, 0 if accepted_first else 4)
        whole.state.withholds = lambda keys: late in keys
        await trio.sleep(ABANDONED_S + 30)
        assert whole.state.withheld
        whole.state.withholds = lambda keys: False
        for key in () if accepted_first else list(described)[:4]:
            whole.state._apply({"guards": [], "apply": [{"put": key, "value": described[key]}]})
        before = parts(whole.state)
        if accepted_first:
            whole.state._apply({"guards": [], "apply": [{"put": f"lf/j/{UID}", "value": accepted(body)}]})
        assert set(whole.state.apply_withheld()) == {409} and parts(whole.state) == before


async def test_a_job_with_a_large_description_has_a_record_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        whole.state.delay_s = 0.2
        large = job(UID, flavours=[*incompressible_names(1500), "m4"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(whole.submit_until_accepted, 0, large)
            for number in range(2, 12):
                nursery.start_soon(whole.submit_until_accepted, 0, job(f"req-{number:06}"))
                await trio.sleep(0.1)
        records = {key: list(value[0]["jobs"]) for key, value in whole.state.keys.items() if key.startswith("lf/j/")}
        assert records[f"lf/j/{UID}"] == [UID] and sum(UID in uids for uids in records.values()) == 1
