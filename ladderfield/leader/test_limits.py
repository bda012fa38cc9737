"""The state service takes less from some moment on: every record fits, and what was stored before is read and kept."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ladderfield.http import encode
from ladderfield.jobs.model import FULL, parse_types, types_record
from ladderfield.leader.ledger import Ledger, Transaction
from ladderfield.leader.pages import encoded_size
from ladderfield.settings import StateLimits
from ladderfield.testing import TYPES, accepted, job
from ladderfield.testing.leader import EPOCH_NOW, SchedulerHarness, rung

LIMIT = 2 * 1024
OPS = 5
OLD = (EPOCH_NOW - 1) << 32


def limited(data: dict[str, Any] | None = None) -> SchedulerHarness:
    """A leader that keeps to the smaller limits, whatever it finds on record."""
    harness = SchedulerHarness(data)
    harness.scheduler.pages.most = int(LIMIT * FULL)
    harness.ledger = Ledger(harness.scheduler, 3, OPS)
    return harness


def write(harness: SchedulerHarness, record: dict[str, Any], most: int | None = None, times: int = 10**6) -> int:
    """Write what is due as the state service with the smaller limits would take it; how many changes that was."""
    ops = 0
    while times and (txn := harness.ledger.collect(True, most)) is not None:
        check(txn)
        record.update(txn.puts)
        for key in txn.deletes:
            record.pop(key, None)
        harness.stamp += 1
        harness.ledger.applied(txn, harness.stamp, 2.0)
        ops += txn.ops
        times -= 1
    return ops


def check(txn: Transaction) -> None:
    """A transaction as the protocol allows it."""
    assert 0 < txn.ops <= OPS and len(txn.guards) <= 4 * OPS
    assert all(len(encode(value)) <= LIMIT for value in txn.puts.values())


def read_back(record: dict[str, Any]) -> tuple[set[tuple[str, int, int]], set[tuple[str, int]]]:
    """What a successor would find: claims that bind, and finished tasks."""
    harness = SchedulerHarness({key: (value, 5) for key, value in record.items()})
    claims = {
        (claim.job.uid, claim.index, claim.attempt)
        for one in harness.scheduler.jobs.values()
        for claim in one.claims.values()
    }
    done = {(one.uid, index) for one in harness.scheduler.jobs.values() for index in one.finished}
    return claims, done


def old_page(number: int, services: int, arrays: int) -> dict[str, Any]:
    """A page of the size that was allowed before: claims of replicas and of array tasks, and finished ranges."""
    hosts = {f"i-{number}{n:05}": ["za", f"10.1.{number}.{n}:9000", "m4", False] for n in range(services + arrays)}
    names = list(hosts)
    return {
        "hosts": hosts,
        "req-000001": {"a": {str(number * 1000 + n): [OLD + number * 1000 + n, names[n]] for n in range(services)}},
        "req-000002": {
            "a": {
                str(number * 1000 + n): [OLD + 50_000 + number * 1000 + n, names[services + n]] for n in range(arrays)
            },
            "d": [[number * 1000 + 300 + 2 * n] * 2 for n in range(150)],
        },
    }


def old_record(pages: int = 3) -> dict[str, Any]:
    """What a leader with the larger limits left."""
    record: dict[str, Any] = {
        "lf/j/req-000001": accepted(job("req-000001", shape="daemon", rungs=9000, owner="blue", rank="production")),
        "lf/j/req-000002": accepted(job("req-000002", rungs=9000, owner="blue")),
    }
    record |= {f"lf/p/{number}": old_page(number, 60, 60) for number in range(pages)}
    assert all(len(encode(record[f"lf/p/{number}"])) > 5 * LIMIT for number in range(pages))
    return record


def test_the_smaller_of_both_limits_holds_from_the_start_each_figure_for_itself() -> None:
    raw = {"rps": 100, "write_rps": 25, "value_kb": 16, "txn_ops": 20}
    both = msgspec.convert(raw | {"next": {"write_rps": 18, "value_kb": 2, "txn_ops": 40}}, StateLimits)
    assert (both.rps, both.write_rps, both.value_kb, both.txn_ops) == (100, 18, 2, 20)
    assert msgspec.convert(raw | {"next": None}, StateLimits).value_kb == 16
    assert msgspec.convert(raw | {"next": {"later": 1}}, StateLimits).txn_ops == 20
    for nonsense in (7, {"value_kb": 0}, {"txn_ops": "many"}, {"rps": -1}):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(raw | {"next": nonsense}, StateLimits)


def test_every_page_of_1500_machines_fits_the_smaller_limit() -> None:
    harness = limited()
    odd = "machine-with-an-odd-and-rather-long-name-" + "\u00e9\u0001" * 40
    for number in range(100):
        harness.submit(f"req-{10**17 + number}", owner="blue", rungs=99_999, cores=2.0)
    for host in range(1499):
        harness.report(f"i-{host:06}", endpoint=f"10.1.{host // 250}.{host % 250}:9000")
    harness.report(odd, endpoint="10.2.0.1:9000")
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    claims = list(harness.scheduler.unrecorded)
    assert len(claims) == 3000
    record = dict[str, Any]()
    ops = write(harness, record)
    assert all(claim.recorded for claim in claims) and ops < len(claims) / 15, "each change records many claims"
    for claim in claims[::2]:
        harness.scheduler.end(claim, True, 3.0)
    write(harness, record)
    assert all(encoded_size(page) <= page.size for page in harness.scheduler.pages.pages)


def test_no_page_is_left_unwritten_because_what_went_along_with_its_claims_filled_it() -> None:
    """cascade-heatshare-next rollout: claims waited for 112 s to be launched.

    Ends of tasks filled their page to two bytes over its size, and it was not written.
    """
    for longer in range(12):  # one of these leaves just as much room as it takes
        harness = limited()
        harness.submit("req-000001", owner="blue", rungs=700, cores=2.0)
        for host in range(3):
            harness.report(f"m{host}" + "x" * longer * (host == 0))
        one = harness.scheduler.jobs["req-000001"]
        one.unsettled |= set(range(100, 600, 2))
        one.finished |= one.unsettled
        harness.scheduler.unsettled[one] = None
        write(harness, {}, OPS - 1)
        assert all(claim.recorded for claim in one.claims.values()) and not one.unsettled


def test_a_machine_whose_name_fits_no_record_gets_no_work_and_stops_nobody_elses() -> None:
    harness = limited()
    harness.submit(rungs=4, owner="blue")
    harness.report("x" * 3000)
    assert harness.scheduler.machines["x" * 3000].sick and not harness.scheduler.unrecorded
    harness.report("m")
    write(harness, {})
    assert harness.report("m") and harness.scheduler.sweep(2.0) == ["x" * 3000]


def test_pages_of_the_old_size_are_read_and_nothing_on_them_is_lost_between_any_two_writes() -> None:
    """Each write may be the process's last: whatever stands then has to say all that stood before."""
    record = old_record()
    claims, done = read_back(record)
    assert len(claims) == 360 and len(done) == 450
    harness = limited({key: (value, 5) for key, value in record.items()})
    writes = 0
    while write(harness, record, times=1):
        writes += 1
        assert read_back(record) == (claims, done)
    assert writes < 60 and all(len(encode(value)) <= LIMIT for key, value in record.items() if key.startswith("lf/p/"))


def test_nothing_that_moves_is_lost_however_full_the_page_it_moves_to() -> None:
    """days/roll-in-trouble-daftar: `ran_twice`.

    What had moved filled its page to two bytes over its size, so that page was not written, and the next leader found
    the claims nowhere once the large page had been written without them.
    """
    for longer in range(14):
        hosts = {f"i-0{n:05}" + "x" * longer: ["za", f"10.1.0.{n}:9000", "m4", False] for n in range(8)}
        claims = {str(100 + n): [OLD + n, host] for n, host in enumerate(hosts)}
        page = {"hosts": hosts, "req-000002": {"a": claims, "d": [[3000 + 2 * n] * 2 for n in range(210)]}}
        record = {"lf/j/req-000002": accepted(job("req-000002", rungs=9000, owner="blue")), "lf/p/0": page}
        before = read_back(record)
        harness = limited({key: (value, 5) for key, value in record.items()})
        for _ in range(9):
            write(harness, record, times=1)
            assert read_back(record) == before


def test_what_changes_on_pages_of_the_old_size_goes_on_others() -> None:
    record = old_record(1)
    harness = limited({key: (value, 5) for key, value in record.items()})
    ended = harness.scheduler.jobs["req-000002"].claims[3]
    harness.scheduler.end(ended, True, 1.0)
    again = harness.scheduler.jobs["req-000002"].claims[4]
    harness.scheduler.end(again, False, 1.0)
    moved = harness.scheduler.claim(again.job, 4, harness.scheduler.machines[ended.host], ended.host, 1.0)
    txn = harness.ledger.collect(False)
    assert txn is not None and "lf/p/0" not in txn.puts, "the large page can't be written"
    check(txn)
    record.update(txn.puts)
    claims, done = read_back(record)
    assert ("req-000002", 3) in done and ("req-000002", 4, moved.attempt) in claims
    assert not any(index == 3 for uid, index, _ in claims if uid == "req-000002")


def test_what_has_moved_is_written_again_before_the_page_it_came_from() -> None:
    """A write whose guards fail: what it moved stands nowhere but on the large page, which must not go first."""
    record = old_record(1)
    harness = limited({key: (value, 5) for key, value in record.items()})
    while (txn := harness.ledger.collect(True)) is not None:
        check(txn)
        harness.ledger.restamp(txn, {})
        again = harness.ledger.collect(True, 1)
        assert again is not None and set(again.puts) <= set(txn.puts)
        record.update(again.puts)
        harness.stamp += 1
        harness.ledger.applied(again, harness.stamp, 2.0)
        assert len(read_back(record)[0]) == 120


def test_a_write_that_is_refused_for_good_is_made_smaller_and_stops_nothing_behind_it() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=400, owner="blue")
    for host in range(200):
        harness.report(f"m{host}")
    claims = list(harness.scheduler.unrecorded)
    refused = 0
    record = dict[str, Any]()
    while (txn := harness.ledger.collect(True)) is not None:
        if max(len(encode(value)) for value in txn.puts.values()) > LIMIT:
            refused += 1
            harness.ledger.refused(txn)
            continue
        record.update(txn.puts)
        harness.stamp += 1
        harness.ledger.applied(txn, harness.stamp, 2.0)
    assert 0 < refused < 5 and all(claim.recorded for claim in claims)
    harness.on_record.update({key: (value, 5) for key, value in record.items()})
    assert len({claim.attempt for claim in claims}) == 400 and sorted(record) == sorted(set(record))


def test_a_refused_write_takes_back_what_it_had_moved() -> None:
    record = old_record(1)
    harness = limited({key: (value, 5) for key, value in record.items()})
    before = read_back(record)
    txn = harness.ledger.collect(True)
    assert txn is not None and txn.moved
    harness.ledger.refused(txn)
    while write(harness, record, times=1):
        assert read_back(record) == before


def test_machine_types_always_fit() -> None:
    many = [TYPES[0] | {"name": f"m{n}", "comment": "x" * 300} for n in range(8)]
    assert types_record(TYPES, LIMIT) == TYPES
    kept = types_record(many, LIMIT)
    assert len(encode(kept)) <= LIMIT and set(parse_types(kept)) == {f"m{n}" for n in range(8)}
    assert 0 < len(types_record(many * 10, LIMIT)) < 80


def test_an_urgent_stop_does_not_wait_for_pages_that_are_moved() -> None:
    record = old_record(1)
    harness = limited({key: (value, 5) for key, value in record.items()})
    claim = harness.scheduler.jobs["req-000002"].claims[7]
    harness.tell("req-000002", "cancelled")
    orders = harness.report(claim.host, (rung(7, claim.attempt, uid="req-000002"),))
    assert [order["verb"] for order in orders] == ["stop"]
