"""Time windows in which a returning zone gets a longer probation, in the operators' time zone.

A window lies within one local day. If a change of daylight saving time makes a bound ambiguous (repeated hour) or
nonexistent (skipped hour), the longest possible window applies, because a window only makes the scheduler more
cautious. For the same reason both ends are extended by the largest error of the controller's clock.
"""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from typing import TYPE_CHECKING
from zoneinfo import ZoneInfo

if TYPE_CHECKING:
    from collections.abc import Container

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
DAILY, AFTER_HOLIDAY = "daily", "monday-after-holiday"
DAYS_PER_WEEK = 7


class WindowError(ValueError):
    """Raised for an invalid window; the message gives the reason."""


@dataclass(frozen=True)
class BusyWindow:
    """A named window."""

    name: str
    weekdays: frozenset[int]
    dates: frozenset[datetime.date]
    after_holiday: bool  # also applies on the Monday after a week with a public holiday
    begin: datetime.time
    end: datetime.time

    def falls_on(self, day: datetime.date, holidays: Container[datetime.date]) -> bool:
        """Whether the window applies on that day."""
        if day.weekday() in self.weekdays or day in self.dates:
            return True
        if not self.after_holiday or day.weekday() != 0:
            return False
        return any(day - datetime.timedelta(days) in holidays for days in range(1, DAYS_PER_WEEK + 1))


def parse_window(name: str, days: str, begin: str, end: str) -> BusyWindow:
    """Parse a window from the four values of its flag."""
    weekdays: set[int] = set()
    dates: set[datetime.date] = set()
    after_holiday = False
    for day in days.split(","):
        if day == DAILY:
            weekdays.update(range(DAYS_PER_WEEK))
        elif day == AFTER_HOLIDAY:
            after_holiday = True
        elif day in WEEKDAYS:
            weekdays.add(WEEKDAYS.index(day))
        else:
            dates.add(_parse_date(name, day))
    begin_time, end_time = _parse_time(name, begin), _parse_time(name, end)
    if end_time <= begin_time:
        raise WindowError(f"{name}: end time {end} is not after begin time {begin}")
    return BusyWindow(name, frozenset(weekdays), frozenset(dates), after_holiday, begin_time, end_time)


def _parse_date(name: str, text: str) -> datetime.date:
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        known = ", ".join((DAILY, *WEEKDAYS, AFTER_HOLIDAY))
        raise WindowError(f"{name}: invalid day {text!r}; known are {known} and dates such as 2026-04-01") from None


def _parse_time(name: str, text: str) -> datetime.time:
    try:
        parsed = datetime.datetime.strptime(text, "%H:%M")
    except ValueError:
        raise WindowError(f"{name}: invalid time of day {text!r}; expected a form such as 06:30") from None
    return parsed.time()


class BusyCalendar:
    """All windows of a deployment."""

    def __init__(
        self,
        windows: tuple[BusyWindow, ...],
        time_zone: ZoneInfo,
        holidays: Container[datetime.date],
        clock_off_s: float,
    ) -> None:
        self.windows, self.time_zone, self.holidays, self.clock_off_s = windows, time_zone, holidays, clock_off_s

    def window_at(self, timestamp: float) -> str | None:
        """The name of a window that may contain this time, or None."""
        margin = self.clock_off_s
        days = {datetime.datetime.fromtimestamp(timestamp + off, self.time_zone).date() for off in (-margin, margin)}
        for window in self.windows:
            for day in days:
                if window.falls_on(day, self.holidays):
                    begin, end = self._bounds(window, day)
                    if begin - margin <= timestamp < end + margin:
                        return window.name
        return None

    def _bounds(self, window: BusyWindow, day: datetime.date) -> tuple[float, float]:
        return min(self._timestamps(day, window.begin)), max(self._timestamps(day, window.end))

    def _timestamps(self, day: datetime.date, time: datetime.time) -> list[float]:
        """Both readings of a local time; they differ only where daylight saving time changes."""
        local = datetime.datetime.combine(day, time, self.time_zone)
        return [local.replace(fold=fold).timestamp() for fold in (0, 1)]
