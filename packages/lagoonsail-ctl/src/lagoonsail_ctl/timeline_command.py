"""The command timeline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal

from lagoonsail_core.green import eventlet
from lagoonsail_core.timeline_view import (
    TimelineFormatError,
    merge_events,
    render_json_lines,
    render_svg,
    render_text,
    select_events,
)
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.errors import BadInputError, CommandError
from lagoonsail_ctl.fleet import (
    Answer,
    Router,
    find_routers,
    no_answer_error,
    query_routers,
)
from lagoonsail_ctl.report import Report

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_ctl.admin_client import AdminClient
    from lagoonsail_ctl.connection import Connection

POLL_INTERVAL_S = 0.5
"""Interval between two polls for new events, in seconds."""

MEMBERS_REFRESH_INTERVAL_MS = 5000.0
"""Interval between two reads of the members with --follow, in ms."""


@dataclass(slots=True)
class ReadPosition:
    """Position up to which the events of one router have been read."""

    incarnation: str = ""
    """Incarnation of the router; logical time restarts with each incarnation."""
    logical: int = 0
    """Logical time of the newest event that was read."""


class TimelineReader:
    """Reads new events from the time lines of all routers."""

    __slots__ = (
        "_connection",
        "_members_read_ms",
        "_positions",
        "_routers",
        "answered_count",
        "failures",
    )

    answered_count: int
    """Number of routers that answered the last read."""
    failures: dict[str, str]
    """By name of router, why it did not answer the last read."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._positions: dict[str, ReadPosition] = {}
        self._routers = find_routers(connection)
        self._members_read_ms = connection.clock.now_ms()
        self.answered_count = 0
        self.failures = {}

    def read(self) -> list[dict[str, object]]:
        """Return the events since the last call, merged from all routers."""
        self._refresh_routers()
        answers = query_routers(self._connection, self._routers, self._request_events)
        self.failures = {}
        events = merge_events(self._collect(answer) for answer in answers)
        self.answered_count = len(answers) - len(self.failures)
        return events

    def _refresh_routers(self) -> None:
        now_ms = self._connection.clock.now_ms()
        if now_ms - self._members_read_ms < MEMBERS_REFRESH_INTERVAL_MS:
            return
        self._members_read_ms = now_ms
        try:
            self._routers = find_routers(self._connection)
        except CommandError:
            # Without the key-value service, the known routers are still followed.
            return

    def _request_events(
        self, client: AdminClient
    ) -> list[dict[str, object]] | Unavailable:
        position = self._positions.setdefault(client.address, ReadPosition())
        events = client.get_timeline(position.logical, position.incarnation)
        if isinstance(events, Unavailable):
            return events
        try:
            merged = merge_events([events.items])
        except TimelineFormatError as error:
            return Unavailable(str(error))
        if events.incarnation != position.incarnation:
            position.incarnation = events.incarnation
            position.logical = 0
        return [event for event in merged if event["logical"] > position.logical]

    def _collect(self, answer: Answer) -> list[dict[str, object]]:
        if isinstance(answer.result, Unavailable):
            self.failures[answer.router.name] = answer.result.reason
            return []
        self._advance(answer.router, answer.result)
        return answer.result

    def _advance(self, router: Router, events: list[dict[str, object]]) -> None:
        if not events:
            return
        self._positions[router.address].logical = events[-1]["logical"]


def timeline(
    connection: Connection,
    *,
    follow: bool = False,
    request: str = "",
    server: str = "",
    account: str = "",
    domain: str = "",
    format: Literal["text", "json", "svg"] = "text",
) -> Report:
    """Show the events of all routers in one order.

    An event follows all events that may have caused it. Each line has the wall time
    (UTC), the logical time, the router and the event. Routers keep only their latest
    events. With --routers, the command works while the key-value service is down.

    Examples::

        lagoonctl timeline --follow
        lagoonctl timeline --server cordero/asistente/asistente-3 --format json
        lagoonctl timeline --domain cordero/norte --format svg > timeline.svg

    Args:
        connection: Key-value service and routers.
        follow: Keep printing new events until interrupted.
        request: Only events of this request.
        server: Only events of this backend server.
        account: Only events of this client account.
        domain: Only events of this failure domain. A failure domain, server or account
            without SIDE/ or SIDE/SERVICE/ before its name matches all of that name.
        format: text (default), json with one event per line, or svg.
    """
    filter_options = {
        "request": request,
        "server": server,
        "account": account,
        "failure_domain": domain,
    }
    filters = {field: value for field, value in filter_options.items() if value}
    # With --follow, a single JSON object would never be complete: one event per line.
    render = _RENDERERS["json" if follow and connection.wants_json else format]
    if follow and format == "svg":
        raise BadInputError("--follow cannot print svg", "use --format text or json")
    reader = TimelineReader(connection)
    if follow:
        return _follow(reader, filters, render)
    all_events = reader.read()
    events = select_events(all_events, filters)
    error = no_answer_error(reader.answered_count, reader.failures)
    notes = [
        f"no events of {name}: {reason}" for name, reason in reader.failures.items()
    ]
    if all_events and not events:
        notes.append(_describe_no_match(filters, len(all_events)))
    data = {"events": events, "no_answer": reader.failures}
    return Report(data, render(events).splitlines(), notes, error)


def _describe_no_match(filters: dict[str, str], event_count: int) -> str:
    values = ", ".join(f"{field} {value[:200]}" for field, value in filters.items())
    return f"none of the {event_count} events that the routers keep matches {values}"


def _follow(
    reader: TimelineReader,
    filters: dict[str, str],
    render: Callable[[list], str],
) -> Report:
    """Print new events until the command is interrupted."""
    try:
        while True:
            events = select_events(reader.read(), filters)
            print(render(events), end="", flush=True)
            eventlet.sleep(POLL_INTERVAL_S)
    except KeyboardInterrupt:
        return Report({"no_answer": reader.failures})


_RENDERERS: dict[str, Callable[[list], str]] = {
    "text": render_text,
    "json": render_json_lines,
    "svg": render_svg,
}
