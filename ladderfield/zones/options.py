"""The operators' flags about zones, checked."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ladderfield.flags import FlagError
from ladderfield.zones.health import HOLD_MOST_S
from ladderfield.zones.order import ReturnOrder, ReturnOrderError, parse_order

if TYPE_CHECKING:
    import datetime

    from ladderfield.zones.windows import BusyCalendar

ORDER, ZONE_ORDER, PROBATION = "--zone-order", "--zone-order-of", "--zone-probation"
WINDOW, TIME_ZONE, HOLIDAYS = "--zone-window", "--zone-time-zone", "--zone-holidays"


class ZoneOptionError(FlagError):
    """A flag about zones can't be used."""


@dataclass(frozen=True)
class ZoneFlags:
    """The flags as they were given."""

    order: str | None = None
    zone_orders: tuple[tuple[str, str], ...] = ()
    probation_s: float | None = None
    windows: tuple[tuple[str, str, str, str], ...] = ()
    time_zone: str | None = None
    holidays: str | None = None


@dataclass(frozen=True)
class ZoneOptions:
    """What the flags mean."""

    order: ReturnOrder
    zone_orders: dict[str, ReturnOrder]
    probation_s: float | None = None  # None: a ratio to the deployment's pace
    calendar: BusyCalendar | None = None

    def order_for(self, zone: str) -> ReturnOrder:
        """The order in which work returns to a zone."""
        return self.zone_orders.get(zone, self.order)


def check(flags: ZoneFlags, zones: Collection[str], clock_off_s: float) -> ZoneOptions | None:
    """The options, or None if the feature is off; ZoneOptionError names the flag that can't be used."""
    if flags.order is None:
        _refuse_without_order(flags)
        return None
    if flags.probation_s is not None and not 0 < flags.probation_s <= HOLD_MOST_S:
        raise ZoneOptionError(PROBATION, f"{flags.probation_s:g} is not above 0 and at most {HOLD_MOST_S:g} s")
    orders: dict[str, ReturnOrder] = {}
    for zone, text in flags.zone_orders:
        if zone not in zones:
            raise ZoneOptionError(ZONE_ORDER, f"unknown zone {zone!r}; known are {', '.join(sorted(zones))}")
        if zone in orders:
            raise ZoneOptionError(ZONE_ORDER, f"{zone} stands there twice")
        orders[zone] = _order(ZONE_ORDER, text)
    return ZoneOptions(_order(ORDER, flags.order), orders, flags.probation_s, _calendar(flags, clock_off_s))


def _refuse_without_order(flags: ZoneFlags) -> None:
    given = {
        ZONE_ORDER: flags.zone_orders, PROBATION: flags.probation_s is not None, WINDOW: flags.windows,
        TIME_ZONE: flags.time_zone, HOLIDAYS: flags.holidays,
    }  # fmt: skip
    for flag, value in given.items():
        if value:
            raise ZoneOptionError(flag, f"has no effect without {ORDER}")


def _order(flag: str, text: str) -> ReturnOrder:
    try:
        return parse_order(text)
    except ReturnOrderError as error:
        raise ZoneOptionError(flag, str(error)) from None


def _calendar(flags: ZoneFlags, clock_off_s: float) -> BusyCalendar | None:
    """The windows' calendar. Its libraries are imported only here, as a start should not pay for them otherwise."""
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
        holidays = _public_holidays(flags.holidays)
    return BusyCalendar(windows, time_zone, holidays, clock_off_s)


def _public_holidays(country: str) -> Collection[datetime.date]:
    """The public holidays of a country, or of a part of one (``MY-10``); years are added as they are asked for."""
    import holidays

    name, _, part = country.partition("-")
    try:
        return holidays.country_holidays(name, subdiv=part or None)
    except NotImplementedError:
        raise ZoneOptionError(HOLIDAYS, f"no calendar of public holidays for {country!r}") from None
