"""Validation of the operators' flags for zone handling."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ladderfield.flags import FlagError
from ladderfield.zones.health import MAX_HOLD_S
from ladderfield.zones.order import ReturnOrder, ReturnOrderError, parse_order

if TYPE_CHECKING:
    import datetime

    from ladderfield.zones.windows import BusyCalendar

ORDER, ZONE_ORDER, PROBATION = "--zone-order", "--zone-order-of", "--zone-probation"
WINDOW, TIME_ZONE, HOLIDAYS = "--zone-window", "--zone-time-zone", "--zone-holidays"


class ZoneOptionError(FlagError):
    """Raised for an invalid zone flag."""


@dataclass(frozen=True)
class ZoneFlags:
    """The flags as given on the command line."""

    order: str | None = None
    zone_orders: tuple[tuple[str, str], ...] = ()
    probation_s: float | None = None
    windows: tuple[tuple[str, str, str, str], ...] = ()
    time_zone: str | None = None
    holidays: str | None = None


@dataclass(frozen=True)
class ZoneOptions:
    """The validated flags."""

    order: ReturnOrder
    zone_orders: dict[str, ReturnOrder]
    probation_s: float | None = None  # None: derived from the report interval
    calendar: BusyCalendar | None = None

    def order_for(self, zone: str) -> ReturnOrder:
        """The return order that applies to a zone."""
        return self.zone_orders.get(zone, self.order)


def check(flags: ZoneFlags, zones: Collection[str], clock_off_s: float) -> ZoneOptions | None:
    """Validate the flags; None if the feature is off. ZoneOptionError names the invalid flag."""
    if flags.order is None:
        _reject_flags_without_order(flags)
        return None
    if flags.probation_s is not None and not 0 < flags.probation_s <= MAX_HOLD_S:
        raise ZoneOptionError(PROBATION, f"{flags.probation_s:g} must be greater than 0 and at most {MAX_HOLD_S:g} s")
    orders: dict[str, ReturnOrder] = {}
    for zone, text in flags.zone_orders:
        if zone not in zones:
            raise ZoneOptionError(ZONE_ORDER, f"unknown zone {zone!r}; known are {', '.join(sorted(zones))}")
        if zone in orders:
            raise ZoneOptionError(ZONE_ORDER, f"{zone} is given more than once")
        orders[zone] = _parse_order_flag(ZONE_ORDER, text)
    return ZoneOptions(
        _parse_order_flag(ORDER, flags.order), orders, flags.probation_s, _build_calendar(flags, clock_off_s)
    )


def _reject_flags_without_order(flags: ZoneFlags) -> None:
    given = {
        ZONE_ORDER: flags.zone_orders, PROBATION: flags.probation_s is not None, WINDOW: flags.windows,
        TIME_ZONE: flags.time_zone, HOLIDAYS: flags.holidays,
    }  # fmt: skip
    for flag, value in given.items():
        if value:
            raise ZoneOptionError(flag, f"has no effect without {ORDER}")


def _parse_order_flag(flag: str, text: str) -> ReturnOrder:
    try:
        return parse_order(text)
    except ReturnOrderError as error:
        raise ZoneOptionError(flag, str(error)) from None


def _build_calendar(flags: ZoneFlags, clock_off_s: float) -> BusyCalendar | None:
    """Build the calendar of the windows; its libraries are imported on demand to keep startup fast."""
    if not flags.windows:
        for flag, value in ((TIME_ZONE, flags.time_zone), (HOLIDAYS, flags.holidays)):
            if value is not None:
                raise ZoneOptionError(flag, f"has no effect without {WINDOW}")
        return None
    import zoneinfo

    from ladderfield.zones.windows import AFTER_HOLIDAY, BusyCalendar, WindowError, parse_window

    if flags.time_zone is None:
        raise ZoneOptionError(WINDOW, f"needs {TIME_ZONE}")
    try:
        time_zone = zoneinfo.ZoneInfo(flags.time_zone)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        raise ZoneOptionError(TIME_ZONE, f"unknown time zone {flags.time_zone!r}") from None
    try:
        windows = tuple(parse_window(*parts) for parts in flags.windows)
    except WindowError as error:
        raise ZoneOptionError(WINDOW, str(error)) from None
    holidays: Collection[datetime.date] = ()
    if any(window.after_holiday for window in windows):
        if flags.holidays is None:
            raise ZoneOptionError(WINDOW, f"{AFTER_HOLIDAY} needs {HOLIDAYS}")
        holidays = _load_holidays(flags.holidays)
    return BusyCalendar(windows, time_zone, holidays, clock_off_s)


def _load_holidays(country: str) -> Collection[datetime.date]:
    """The public holidays of a country or one of its subdivisions (``MY-10``); the library adds years on demand."""
    import holidays

    code, _, subdivision = country.partition("-")
    try:
        return holidays.country_holidays(code, subdiv=subdivision or None)
    except NotImplementedError:
        raise ZoneOptionError(HOLIDAYS, f"no calendar of public holidays for {country!r}") from None
