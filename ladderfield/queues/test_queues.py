"""Queues, the choice of the next task, placement rules, tiers and team limits."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from ladderfield.jobs.model import JobSpec, decode_types
from ladderfield.queues.pick import Queues, Tier, max_tasks_per_zone, placeable, tiers, victims
from ladderfield.queues.work import Claim, Job, ranges
from ladderfield.settings import Team
from ladderfield.teams import Teams
from ladderfield.testing import TYPES, job
from ladderfield.workers.machine import Machine

KIND = decode_types(TYPES).types["m4"]


def make_job(uid: str = "req-000001", **changes: Any) -> Job:
    """A job with its first block opened."""
    result = Job(msgspec.convert(job(uid, **changes), JobSpec), 0.0, 256)
    result.open_next()
    return result


def machine(host: str, zone: str = "za", spot: bool = False) -> Machine:
    """An empty machine."""
    return Machine(host, "10.9.0.1:90", KIND, zone, spot, 0.0)


def bind(owner: Job, index: int, on: Machine) -> Claim:
    """A registered claim of a job's task on a machine."""
    claim = Claim(owner, index, index + 1, on.host, on.host_record())
    owner.bind(claim)
    on.reserve(claim)
    return claim


def test_blocks_are_distributed_round_robin_to_machines_that_may_run_them() -> None:
    in_za, queues = make_job(rungs=5, yard="za"), Queues()
    a, b, other = machine("a"), machine("b"), machine("c", zone="zb")
    queues.distribute(in_za, [m for m in (a, other, b) if m.allows(in_za.spec)])
    assert [list(m.queue[in_za]) for m in (a, b)] == [[0, 2, 4], [1, 3]]
    assert not other.queue and in_za.queued == 5


def pull(queues: Queues, free: Machine, machines: list[Machine], jobs: set[Job], min_locality: int = 0) -> Any:
    """What a free machine pulls in a pass of its own."""
    queues.begin(machines)
    return queues.pull(free, Tier(False, jobs).eligible(free, min_locality, lambda spec: True, lambda job: True))


def test_free_machine_pulls_from_its_own_queue_by_locality_then_smallest_id() -> None:
    first, second = make_job("req-000001", bundle="img-1"), make_job("req-000002", bundle="img-2")
    a, queues = machine("a"), Queues()
    queues.distribute(second, [a])
    queues.distribute(first, [a])
    assert pull(queues, a, [a], {first, second}) == (first, 0, "a")
    a.use_image("img-2", 1.0)
    assert pull(queues, a, [a], {first, second}) == (second, 0, "a")
    assert pull(queues, a, [a], {first}, 1) is None, "only jobs with a cached image were requested"


def test_machine_with_empty_queue_helps_straggler_with_fewest_helpers_then_slowest() -> None:
    array, queues = make_job(rungs=9), Queues()
    a, b, c = machine("a"), machine("b"), machine("c")
    queues.distribute(array, [a, b])
    idle = machine("d")
    a.finished, b.finished = 5, 1
    everyone = [a, b, c, idle]
    assert pull(queues, idle, everyone, {array}) == (array, 1, "b"), "equal helpers: the slowest"
    queues.helped("b", "c", 1)
    assert pull(queues, idle, everyone, {array}) == (array, 0, "a"), "b has a helper already"
    queues.helped("b", "c", 1)
    queues.helped("b", "c", -1)
    assert queues.helpers("b") == 1, "c still runs a task"
    queues.helped("b", "c", -1)
    assert queues.helpers("b") == 0


def test_sorted_stragglers_equal_a_full_search_at_every_step_of_a_pass() -> None:
    """Stragglers are kept sorted during a pass; the result has to equal a search."""
    rng = random.Random(5)
    queues = Queues()
    machines = [machine(f"m{n:02}") for n in range(12)]
    for each in machines:
        each.finished = rng.randrange(3)
    jobs = {make_job(f"req-{n:06}", rungs=20, cores=0.0) for n in range(4)}
    for array in sorted(jobs, key=lambda job: job.uid):
        queues.distribute(array, rng.sample(machines, 5))
    queues.begin(machines)
    while any(array.queued for array in jobs):
        helper = rng.choice([each for each in machines if not each.queue] or machines)
        stragglers = [each for each in machines if each.queue and each is not helper]
        stragglers.sort(key=lambda each: (queues.helpers(each.host), each.finished, each.host))
        expected = helper.host if helper.queue else stragglers[0].host
        pulled = queues.pull(helper, {array for array in jobs if array.queued})
        assert pulled is not None and pulled[2] == expected
        queues.helped(pulled[2], helper.host, 1)
    queues.end()
    for each in machines:
        each.finished += 1
    for straggler, helpers in list(queues._helper_tasks.items()):
        for helper_host in list(helpers):
            queues.helped(straggler, helper_host, -1)  # between passes no sorted list is kept


def test_placement_follows_zone_kind_type_and_other_claims_of_the_job() -> None:
    za, zb, spot = machine("a"), machine("b", zone="zb"), machine("s", spot=True)
    assert not placeable(make_job(loaners=False), spot)
    assert not placeable(make_job(yard="zb"), za)
    assert not placeable(make_job(flavours=["m8"]), za)
    together = make_job(oneZone=True, rungs=4)
    bind(together, 0, za)
    assert placeable(together, machine("a2")) and not placeable(together, zb)
    apart = make_job(spread=True, rungs=5)
    for index in range(max_tasks_per_zone(5)):
        assert placeable(apart, za)
        bind(apart, index, machine(f"m{index}"))
    assert not placeable(apart, za) and placeable(apart, zb)


def test_released_claim_no_longer_counts_for_placement() -> None:
    in_one_zone = make_job(oneZone=True)
    claim = bind(in_one_zone, 0, machine("a"))
    in_one_zone.release(claim)
    assert placeable(in_one_zone, machine("b", zone="zb"))


def test_tiers_are_sorted_by_guarantee_then_rank_then_rating() -> None:
    teams = Teams([Team("red", cpus=2.0), Team("blue")])
    guaranteed = make_job("req-000001", owner="red", rank="best_effort", rungs=1)
    high = make_job("req-000002", owner="blue", rank="production", rungs=1)
    soon = make_job("req-000003", owner="blue", rungs=1)
    late = make_job("req-000004", owner="blue", rungs=1)
    jobs = [late, soon, high, guaranteed]
    for waiting in jobs:
        waiting.queued = 1
    order = tiers(jobs, teams, lambda rated: (False, 2 if rated is late else 1), 0.0)
    assert [(tier.by_guarantee, tier.jobs) for tier in order] == [
        (True, {guaranteed}),
        (False, {high}),
        (False, {soon}),
        (False, {late}),
    ]


def test_team_limit_and_guarantee_at_their_bounds() -> None:
    teams = Teams([Team("red", cpus=4.0, cpus_max=6.0), Team("blue")])
    spec = make_job(owner="red", rungs=9).spec
    assert teams.room(spec) == 3
    teams.add(spec, 2)
    assert not teams.guaranteed(spec) and teams.room(spec) == 1
    teams.add(spec)
    assert teams.room(spec) == 0 and teams.borrowed()["red"] == 2.0
    teams.add(spec, -1)
    assert teams.room(spec) == 1
    free = make_job(owner="blue", rungs=9).spec
    teams.add(free, 100)
    assert teams.room(free) == 9, "a limit of 0 means none is set"
    assert not teams.guaranteed(free), "a guarantee of 0 means none is set"


def test_preemption_stops_the_fewest_claims_with_the_least_work_lost() -> None:
    low, full = make_job(rank="best_effort"), machine("a")
    old, new = bind(low, 0, full), bind(low, 1, full)
    need = make_job("req-000002", cores=2.0).spec
    assert victims(full, need, {old: 30.0, new: 3.0}) == [new]
    assert victims(full, make_job("req-000003", cores=4.0, memoryGb=15).spec, {new: 3.0}) is None


def test_finished_tasks_are_stored_as_ranges() -> None:
    assert ranges({5, 1, 2, 3, 9}) == [[1, 3], [5, 5], [9, 9]]
