"""Windows of the day in which a returning zone is trusted later, in the operators' own time zone.

A window lies within one local day. Where a change of daylight saving time makes a bound ambiguous (the hour comes
twice) or impossible (the hour is missing), the window is the longer of the possible ones, as it exists for caution.
For the same reason it is longer at both ends by what the controller's clock may be off.
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
WEEK = 7  # days


class WindowError(ValueError):
    """Not a window; the text says why."""


@dataclass(frozen=True)
class BusyWindow:
    """A named window."""

    name: str
    weekdays: frozenset[int]
    dates: frozenset[datetime.date]
    after_holiday: bool  # also the Monday after a week with a public holiday
    begin: datetime.time
    end: datetime.time

    def on(self, day: datetime.date, holidays: Container[datetime.date]) -> bool:
        """Whether it lies on that day."""
        if day.weekday() in self.weekdays or day in self.dates:
            return True
        if not self.after_holiday or day.weekday() != 0:
            return False
        return any(day - datetime.timedelta(days) in holidays for days in range(1, WEEK + 1))


def parse_window(name: str, days: str, begin: str, end: str) -> BusyWindow:
    """A window from the four parts of its flag."""
    weekdays: set[int] = set()
    dates: set[datetime.date] = set()
    after_holiday = False
    for day in days.split(","):
        if day == DAILY:
            weekdays.update(range(WEEK))
        elif day == AFTER_HOLIDAY:
            after_holiday = True
        elif day in WEEKDAYS:
            weekdays.add(WEEKDAYS.index(day))
        else:
            dates.add(_date(name, day))
    first, last = _time(name, begin), _time(name, end)
    if last <= first:
        raise WindowError(f"{name}: ends at {end}, before it begins at {begin}")
    return BusyWindow(name, frozenset(weekdays), frozenset(dates), after_holiday, first, last)


def _date(name: str, text: str) -> datetime.date:
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        known = ", ".join((DAILY, *WEEKDAYS, AFTER_HOLIDAY))
        raise WindowError(f"{name}: {text!r} is no day; known are {known} and dates such as 2026-04-01") from None


def _time(name: str, text: str) -> datetime.time:
    try:
        parsed = datetime.datetime.strptime(text, "%H:%M")
    except ValueError:
        raise WindowError(f"{name}: {text!r} is no time of day such as 06:30") from None
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

    def busy(self, at: float) -> str | None:
        """The name of a window in which this time of day may lie, None if there is none."""
        margin = self.clock_off_s
        days = {datetime.datetime.fromtimestamp(at + off, self.time_zone).date() for off in (-margin, margin)}
        for window in self.windows:
            for day in days:
                if window.on(day, self.holidays):
                    begin, end = self._bounds(window, day)
                    if begin - margin <= at < end + margin:
                        return window.name
        return None

    def _bounds(self, window: BusyWindow, day: datetime.date) -> tuple[float, float]:
        return min(self._moments(day, window.begin)), max(self._moments(day, window.end))

    def _moments(self, day: datetime.date, time: datetime.time) -> list[float]:
        """The moments that a local time may mean: one, or two where daylight saving changes."""
        local = datetime.datetime.combine(day, time, self.time_zone)
        return [local.replace(fold=fold).timestamp() for fold in (0, 1)]
