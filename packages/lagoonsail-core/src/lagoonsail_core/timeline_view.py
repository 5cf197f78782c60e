"""Time lines of many processes as one, in several formats.

Events are dictionaries as `lagoonsail_core.events.Event.as_dict` makes them.
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
"""Events that are drawn; of more, the last ones are."""

_HEAD_FIELDS = ("logical", "wall_ms", "router", "event")
_QUALIFIED_FIELDS = ("server", "account", "failure_domain")
_ROW_HEIGHT = 18
_LANE_WIDTH = 24
_MARGIN = 16
_TIME_WIDTH = 170
_CHARACTER_WIDTH = 6.7
_COLOURS = ("#0b6e99", "#b3541e", "#3d7a33", "#8a3b8f", "#7a6a00", "#444f8c")


class TimelineFormatError(LagoonsailError):
    """Something in a time line that is no event."""

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


def _order(event: EventDict) -> tuple:
    return event["logical"], event["wall_ms"], event["router"]


def merge_events(timelines: Iterable[Iterable[object]]) -> list[dict[str, object]]:
    """Merge the time lines of many processes.

    Args:
        timelines: Events of each process, for example parsed JSON.

    Returns:
        All events by logical time, then wall time, then router. An event stands after
        all that may have caused it.

    Raises:
        TimelineFormatError: If something is no event.

    Example:
        >>> late = {"logical": 2, "wall_ms": 1.0, "router": "r1", "event": "b"}
        >>> early = {"logical": 1, "wall_ms": 9.0, "router": "r2", "event": "a"}
        >>> [event["event"] for event in merge_events([[late], [early]])]
        ['a', 'b']
    """
    events = [_check_event(event) for timeline in timelines for event in timeline]
    return sorted(events, key=_order)


def select_events(
    events: Iterable[EventDict], wanted: Mapping[str, object]
) -> list[EventDict]:
    """Return the events whose fields have the wanted values.

    Args:
        events: Events in any order.
        wanted: Value by field; values are compared as text, so that those of a
            command line fit. All must agree. A server, account or failure domain
            named without a slash stands for all whose last part it is.

    Returns:
        The events in the order given.

    Example:
        >>> events = [{"server": "cordero/asistente/a-1"}, {"server": "a-2"}]
        >>> len(select_events(events, {"server": "a-1"}))
        1
    """
    pairs = [(field, str(value)) for field, value in wanted.items()]
    return [
        event
        for event in events
        if all(field in event and _fits(event, field, text) for field, text in pairs)
    ]


def _fits(event: EventDict, field: str, wanted: str) -> bool:
    value = str(event[field])
    if field in _QUALIFIED_FIELDS and "/" not in wanted:
        value = value.rpartition("/")[2]
    return value == wanted


def _printable(value: object) -> str:
    # Values come from other processes: no control character may reach a terminal.
    text = str(value)
    if text.isprintable():
        return text
    return "".join(
        letter if letter.isprintable() else ascii(letter)[1:-1] for letter in text
    )


def _time_of_day(wall_ms: float) -> str:
    try:
        moment = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    except (OverflowError, OSError, ValueError):
        return "??:??:??.???"
    return f"{moment:%H:%M:%S}.{moment.microsecond // 1000:03d}"


def _describe(event: EventDict) -> str:
    fields = [
        f"{_printable(field)}={_printable(value)}"
        for field, value in event.items()
        if field not in _HEAD_FIELDS
    ]
    return " ".join([_printable(event["event"]), *fields])


def render_text(events: Iterable[EventDict]) -> str:
    """Return one line for each event: UTC time, logical time, router, what happened.

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
    """Return one JSON object for each event.

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
        _svg_text(_MARGIN, y + 4, head, "#666")
        + f'<circle cx="{x:g}" cy="{y:g}" r="5" fill="{colour}"/>'
        + _svg_text(text_x, y + 4, _describe(event))
    )


def render_svg(events: Iterable[EventDict]) -> str:
    """Draw events from top to bottom, with one vertical line for each router.

    Args:
        events: Merged events; of many, only the last `MAX_SVG_EVENTS` are drawn.

    Returns:
        An SVG document.
    """
    events = list(events)
    left_out = max(0, len(events) - MAX_SVG_EVENTS)
    events = events[left_out:]
    routers = sorted({event["router"] for event in events})
    lanes = {
        router: (
            _TIME_WIDTH + _MARGIN + number * _LANE_WIDTH,
            _COLOURS[number % len(_COLOURS)],
        )
        for number, router in enumerate(routers)
    }
    # The names of the routers stand above each other, as steps.
    top = _MARGIN * 2 + _ROW_HEIGHT * len(routers)
    bottom = top + _ROW_HEIGHT * (len(events) + 1)
    text_x = _TIME_WIDTH + _MARGIN * 2 + len(routers) * _LANE_WIDTH
    parts = [
        _svg_lane(x, bottom, _printable(router), colour, _MARGIN + _ROW_HEIGHT * step)
        for step, (router, (x, colour)) in enumerate(lanes.items(), 1)
    ]
    for row, event in enumerate(events, 1):
        x, colour = lanes[event["router"]]
        parts.append(_svg_event(event, x, top + _ROW_HEIGHT * row, text_x, colour))
    if left_out:
        parts.append(_svg_text(_MARGIN, _MARGIN, f"{left_out} earlier events left out"))
    longest = max((len(_describe(event)) for event in events), default=0)
    names = max((len(_printable(router)) for router in routers), default=0)
    width = text_x + _MARGIN + _CHARACTER_WIDTH * max(longest, names)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width:g}" '
        f'height="{bottom + _MARGIN:g}" font-family="monospace" font-size="11">'
        f'<rect width="100%" height="100%" fill="#fff"/>{"".join(parts)}</svg>\n'
    )
