"""Merges the timelines of several processes and renders them in several formats.

Events are dictionaries as returned by `lagoonsail_core.events.Event.as_dict`.
"""

from __future__ import annotations

import html
import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    EventDict = Mapping[str, object]

MAX_SVG_EVENTS = 2000
"""Largest number of events in an SVG; only the last ones are drawn."""

_COMMON_FIELDS = ("logical", "wall_ms", "router", "event")
_QUALIFIED_FIELDS = ("server", "account", "failure_domain")
_ROW_HEIGHT_PX = 18
_LANE_WIDTH_PX = 24
_MARGIN_PX = 16
_TIME_WIDTH_PX = 170
_CHARACTER_WIDTH_PX = 6.7
_COLOURS = ("#0b6e99", "#b3541e", "#3d7a33", "#8a3b8f", "#7a6a00", "#444f8c")


class TimelineFormatError(LagoonsailError):
    """An item of a timeline is not a well-formed event."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, "run the same version of lagoonsail on all routers")


def _check_event(event: object) -> dict[str, object]:
    if not isinstance(event, dict):
        raise TimelineFormatError("an event that is no dictionary")
    if type(event.get("logical")) is not int:
        raise TimelineFormatError("an event without a logical time")
    if type(event.get("wall_ms")) not in (int, float):
        raise TimelineFormatError("an event without a wall time")
    if type(event.get("router")) is not str or type(event.get("event")) is not str:
        raise TimelineFormatError("an event without router or name")
    return event


def _sort_key(event: EventDict) -> tuple:
    return event["logical"], event["wall_ms"], event["router"]


def merge_events(timelines: Iterable[Iterable[object]]) -> list[dict[str, object]]:
    """Merge the timelines of several processes.

    Args:
        timelines: Events of each process, for example parsed JSON.

    Returns:
        All events, sorted by logical time, wall time and router, so that an event
        comes after every event that may have caused it.

    Raises:
        TimelineFormatError: If an item is not a well-formed event.

    Example:
        >>> late = {"logical": 2, "wall_ms": 1.0, "router": "r1", "event": "b"}
        >>> early = {"logical": 1, "wall_ms": 9.0, "router": "r2", "event": "a"}
        >>> [event["event"] for event in merge_events([[late], [early]])]
        ['a', 'b']
    """
    events = [_check_event(event) for timeline in timelines for event in timeline]
    return sorted(events, key=_sort_key)


def select_events(
    events: Iterable[EventDict], required: Mapping[str, object]
) -> list[EventDict]:
    """Return the events whose fields have the given values.

    Args:
        events: Events in any order.
        required: Required value by field; all must match. Values are compared as text,
            since they may come from a command line. A server, account or failure
            domain without a slash matches every name whose last part it is.

    Returns:
        The matching events, in their original order.

    Example:
        >>> events = [{"server": "cordero/asistente/a-1"}, {"server": "a-2"}]
        >>> len(select_events(events, {"server": "a-1"}))
        1
    """
    pairs = [(field, str(value)) for field, value in required.items()]
    return [
        event
        for event in events
        if all(field in event and _matches(event, field, text) for field, text in pairs)
    ]


def _matches(event: EventDict, field: str, expected: str) -> bool:
    value = str(event[field])
    if field in _QUALIFIED_FIELDS and "/" not in expected:
        value = value.rpartition("/")[2]
    return value == expected


def _printable(value: object) -> str:
    # Values come from other processes; control characters must not reach a terminal.
    text = str(value)
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else ascii(character)[1:-1]
        for character in text
    )


def _time_of_day(wall_ms: float) -> str:
    try:
        time_of_day = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    except (OverflowError, OSError, ValueError):
        return "??:??:??.???"
    return f"{time_of_day:%H:%M:%S}.{time_of_day.microsecond // 1000:03d}"


def _describe(event: EventDict) -> str:
    fields = [
        f"{_printable(field)}={_printable(value)}"
        for field, value in event.items()
        if field not in _COMMON_FIELDS
    ]
    return " ".join([_printable(event["event"]), *fields])


def render_text(events: Iterable[EventDict]) -> str:
    """Return one line per event: UTC time, logical time, router, event and fields.

    Args:
        events: Merged events.

    Returns:
        Lines, each ending in a line break.
    """
    events = list(events)
    width = max((len(_printable(event["router"])) for event in events), default=0)
    return "".join(
        f"{_time_of_day(event['wall_ms'])} {event['logical']:>8} "
        f"{_printable(event['router']):<{width}} {_describe(event)}\n"
        for event in events
    )


def render_json_lines(events: Iterable[EventDict]) -> str:
    """Return one JSON object per event.

    Args:
        events: Merged events.

    Returns:
        Lines, each ending in a line break.
    """
    return "".join(f"{json.dumps(event)}\n" for event in events)


def _svg_text(x: float, y: float, text: str, colour: str = "#222") -> str:
    return f'<text x="{x:g}" y="{y:g}" fill="{colour}">{html.escape(text)}</text>'


def _svg_lane(x: float, bottom: float, name: str, colour: str, y: float) -> str:
    line = (
        f'<line x1="{x:g}" y1="{y:g}" x2="{x:g}" y2="{bottom:g}" '
        f'stroke="{colour}" stroke-opacity="0.5"/>'
    )
    return line + _svg_text(x - 4, y - 6, name, colour)


def _svg_event(event: EventDict, x: float, y: float, text_x: float, colour: str) -> str:
    head = f"{_time_of_day(event['wall_ms'])} {event['logical']:>6}"
    return (
        _svg_text(_MARGIN_PX, y + 4, head, "#666")
        + f'<circle cx="{x:g}" cy="{y:g}" r="5" fill="{colour}"/>'
        + _svg_text(text_x, y + 4, _describe(event))
    )


def render_svg(events: Iterable[EventDict]) -> str:
    """Draw the events from top to bottom, with one vertical line per router.

    Args:
        events: Merged events; only the last `MAX_SVG_EVENTS` are drawn.

    Returns:
        An SVG document.
    """
    events = list(events)
    omitted_count = max(0, len(events) - MAX_SVG_EVENTS)
    events = events[omitted_count:]
    routers = sorted({event["router"] for event in events})
    lanes = {
        router: (
            _TIME_WIDTH_PX + _MARGIN_PX + number * _LANE_WIDTH_PX,
            _COLOURS[number % len(_COLOURS)],
        )
        for number, router in enumerate(routers)
    }
    # Router names are staggered, one row each above the events, so as not to overlap.
    top = _MARGIN_PX * 2 + _ROW_HEIGHT_PX * len(routers)
    bottom = top + _ROW_HEIGHT_PX * (len(events) + 1)
    text_x = _TIME_WIDTH_PX + _MARGIN_PX * 2 + len(routers) * _LANE_WIDTH_PX
    parts = [
        _svg_lane(
            x, bottom, _printable(router), colour, _MARGIN_PX + _ROW_HEIGHT_PX * step
        )
        for step, (router, (x, colour)) in enumerate(lanes.items(), 1)
    ]
    for row, event in enumerate(events, 1):
        x, colour = lanes[event["router"]]
        parts.append(_svg_event(event, x, top + _ROW_HEIGHT_PX * row, text_x, colour))
    if omitted_count:
        parts.append(
            _svg_text(
                _MARGIN_PX, _MARGIN_PX, f"{omitted_count} earlier events left out"
            )
        )
    text_length = max((len(_describe(event)) for event in events), default=0)
    name_length = max((len(_printable(router)) for router in routers), default=0)
    width = text_x + _MARGIN_PX + _CHARACTER_WIDTH_PX * max(text_length, name_length)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width:g}" '
        f'height="{bottom + _MARGIN_PX:g}" font-family="monospace" font-size="11">'
        f'<rect width="100%" height="100%" fill="#fff"/>{"".join(parts)}</svg>\n'
    )
