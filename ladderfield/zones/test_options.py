"""Validation of the zone flags."""

from __future__ import annotations

import datetime
import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ladderfield.cli import main
from ladderfield.jobs.model import RANKS
from ladderfield.testing.samples import SETTINGS
from ladderfield.zones.options import ZoneFlags, check
from ladderfield.zones.windows import BusyCalendar

ORDER = "production,urgent+standard,best_effort"
WINDOW_FLAGS = ("--zone-order", ORDER, "--zone-time-zone", "UTC", "--zone-window", "w")
BILLING = ("billing", "mon,2026-03-08,2026-11-01", "01:15", "02:30")


def make_calendar(
    time_zone: str = "America/New_York", *windows: tuple[str, str, str, str], holidays: str | None = None
) -> BusyCalendar:
    options = check(
        ZoneFlags(ORDER, windows=windows or (BILLING,), time_zone=time_zone, holidays=holidays), ["za"], 0.025
    )
    assert options is not None and options.calendar is not None
    return options.calendar


def utc(text: str) -> float:
    """The timestamp of a time in UTC."""
    return datetime.datetime.fromisoformat(text + "+00:00").timestamp()


def test_the_order_puts_each_priority_into_a_wave() -> None:
    options = check(ZoneFlags(ORDER, (("zb", "production,standard"),)), ["za", "zb"], 0.0)
    assert options is not None
    order = options.order_for("za")
    assert [order.wave_of(RANKS[name]) for name in ("production", "urgent", "standard", "best_effort")] == [0, 1, 1, 2]
    other = options.order_for("zb")
    assert other.wave_of(RANKS["urgent"]) == 1, "unnamed priorities belong to the last wave"


def test_without_an_order_the_feature_is_off() -> None:
    assert check(ZoneFlags(), ["za"], 0.0) is None


@pytest.mark.parametrize(
    ("arguments", "flag"),
    [
        (["--zone-order", "production,urgnt"], "--zone-order"),
        (["--zone-order", "production,standard,standard"], "--zone-order"),
        (["--zone-order", "standard,production"], "--zone-order"),
        (["--zone-order", "production"], "--zone-order"),
        (["--zone-order", ""], "--zone-order"),
        (["--zone-order", ORDER, "--zone-order-of", "zx", ORDER], "--zone-order-of"),
        (["--zone-order", ORDER, "--zone-order-of", "za", ORDER, "--zone-order-of", "za", ORDER], "--zone-order-of"),
        (["--zone-order", ORDER, "--zone-order-of", "za", "production,x"], "--zone-order-of"),
        (["--zone-order", ORDER, "--zone-probation", "-1"], "--zone-probation"),
        (["--zone-order", ORDER, "--zone-probation", "0"], "--zone-probation"),
        (["--zone-order", ORDER, "--zone-probation", "1e9"], "--zone-probation"),
        (["--zone-order", ORDER, "--zone-probation", "nan"], "--zone-probation"),
        (["--zone-probation", "5"], "--zone-probation"),
        (["--zone-window", *BILLING], "--zone-window"),
        (["--zone-order", ORDER, "--zone-window", *BILLING], "--zone-window"),
        (["--zone-order", ORDER, "--zone-time-zone", "Asia/Kuala_Lumpur"], "--zone-time-zone"),
        (["--zone-order", ORDER, "--zone-window", *BILLING, "--zone-time-zone", "Mars/Base"], "--zone-time-zone"),
        (["--zone-order", ORDER, "--zone-window", *BILLING, "--zone-time-zone", "../x"], "--zone-time-zone"),
        ([*WINDOW_FLAGS, "mon", "09:00", "06:00"], "--zone-window"),
        ([*WINDOW_FLAGS, "mon", "06:00", "06:00"], "--zone-window"),
        ([*WINDOW_FLAGS, "someday", "06:00", "7:00"], "--zone-window"),
        ([*WINDOW_FLAGS, "mon", "6", "25:00"], "--zone-window"),
        (
            [*WINDOW_FLAGS, "monday-after-holiday", "06:00", "07:00"],
            "--zone-window",
        ),
        (
            [*WINDOW_FLAGS, "monday-after-holiday", "06:00", "07:00", "--zone-holidays", "QQ"],
            "--zone-holidays",
        ),
    ],
)  # fmt: skip
def test_an_invalid_flag_exits_with_code_2_and_one_line(tmp_path: Path, arguments: list[str], flag: str) -> None:
    config = tmp_path / "settings.json"
    config.write_text(json.dumps(SETTINGS))
    result = CliRunner().invoke(main, ["serve", *arguments, "--config", str(config)])
    assert result.exit_code == 2
    (line,) = result.output.strip().splitlines()
    assert line.startswith(f"ladderfield: {flag}: "), line


@pytest.mark.parametrize(
    ("variable", "value", "flag"),
    [
        ("ZONE_WINDOW", "w mon 09:00 06:00 x tue 06:00 07:00", "--zone-window"),
        ("ZONE_ORDER_OF", f"zx {ORDER}", "--zone-order-of"),
        ("ZONE_PROBATION", "-1", "--zone-probation"),
        ("ZONE_TIME_ZONE", "Mars/Base", "--zone-time-zone"),
    ],
)
def test_each_flag_can_be_set_by_an_environment_variable(tmp_path: Path, variable: str, value: str, flag: str) -> None:
    config = tmp_path / "settings.json"
    config.write_text(json.dumps(SETTINGS))
    names = {"ZONE_ORDER": ORDER, "ZONE_TIME_ZONE": "UTC", "ZONE_WINDOW": "w mon 06:00 07:00"} | {variable: value}
    env = {f"LADDERFIELD_SERVE_{name}": text for name, text in names.items()}
    result = CliRunner().invoke(main, ["serve", "--config", str(config)], env=env, auto_envvar_prefix="LADDERFIELD")
    assert result.exit_code == 2 and result.output.startswith(f"ladderfield: {flag}: ")


def test_a_window_applies_on_its_weekdays() -> None:
    calendar = make_calendar()
    monday = "2026-06-01T"  # 01:15 in New York is 05:15 in UTC
    assert calendar.window_at(utc(monday + "05:14:59")) is None
    assert calendar.window_at(utc(monday + "05:15:00") - 0.02) == "billing", "the clock may be inaccurate"
    assert calendar.window_at(utc(monday + "06:29:59")) == "billing"
    assert calendar.window_at(utc(monday + "06:30:01")) is None
    assert calendar.window_at(utc("2026-06-02T05:30:00")) is None


def test_an_end_in_the_skipped_hour_lengthens_the_window() -> None:
    calendar = make_calendar()  # on 2026-03-08 the hour from 2 to 3 is skipped: 07:00 UTC is 03:00 local time
    assert calendar.window_at(utc("2026-03-08T06:14:00")) is None
    assert calendar.window_at(utc("2026-03-08T06:15:00")) == "billing"
    assert calendar.window_at(utc("2026-03-08T07:29:00")) == "billing", "02:30 is read as 03:30"
    assert calendar.window_at(utc("2026-03-08T07:31:00")) is None


def test_a_begin_in_the_repeated_hour_lengthens_the_window() -> None:
    calendar = make_calendar()  # on 2026-11-01 the hour from 1 to 2 is repeated: from 05:00 and from 06:00 UTC
    assert calendar.window_at(utc("2026-11-01T05:14:00")) is None
    assert calendar.window_at(utc("2026-11-01T05:16:00")) == "billing", "from the first occurrence"
    assert calendar.window_at(utc("2026-11-01T07:29:00")) == "billing"


def test_a_begin_in_the_skipped_hour_or_an_end_in_the_repeated_hour_lengthens_the_window() -> None:
    skipped = make_calendar("America/New_York", ("early", "2026-03-08", "02:10", "04:00"))
    assert skipped.window_at(utc("2026-03-08T06:11:00")) == "early", "from 01:10, by the offset after the change"
    repeated = make_calendar("America/New_York", ("late", "2026-11-01", "00:30", "01:30"))
    assert repeated.window_at(utc("2026-11-01T06:29:00")) == "late", "until the second occurrence"
    assert repeated.window_at(utc("2026-11-01T06:31:00")) is None


def test_a_window_applies_on_the_monday_after_a_public_holiday() -> None:
    calendar = make_calendar("Asia/Kuala_Lumpur", ("raya", "monday-after-holiday", "08:00", "12:00"), holidays="MY")
    assert calendar.window_at(utc("2026-09-07T02:00:00")) == "raya", "the national day was one week earlier"
    assert calendar.window_at(utc("2026-10-12T02:00:00")) is None
    assert calendar.window_at(utc("2026-09-08T02:00:00")) is None
