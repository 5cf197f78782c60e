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
    ask_all,
    find_routers,
    no_answer_error,
)
from lagoonsail_ctl.report import Report

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_ctl.admin_client import AdminClient
    from lagoonsail_ctl.connection import Connection

POLL_INTERVAL_S = 0.5
"""Time between two looks for new events."""

MEMBERS_INTERVAL_MS = 5000.0
"""Time between two looks for new routers while events are followed."""


@dataclass(slots=True)
class Position:
    """How far the events of one router have been read."""

    incarnation: str = ""
    """Incarnation of the router, whose logical time begins anew at each start."""
    logical: int = 0
    """Logical time of the newest event."""


class TimelineReader:
    """Reads what is new in the time lines of all routers."""

    __slots__ = (
        "_connection",
        "_members_ms",
        "_positions",
        "_routers",
        "answered",
        "silent",
    )

    answered: int
    """Number of routers that answered last time."""
    silent: dict[str, str]
    """By router, why it did not answer last time."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._positions: dict[str, Position] = {}
        self._routers = find_routers(connection)
        self._members_ms = connection.clock.now_ms()
        self.answered = 0
        self.silent = {}

    def read(self) -> list[dict[str, object]]:
        """Return the merged events that are new since the last call."""
        self._look_for_routers()
        answers = ask_all(self._connection, self._routers, self._ask)
        self.silent = {}
        events = merge_events(self._take(answer) for answer in answers)
        self.answered = len(answers) - len(self.silent)
        return events

    def _look_for_routers(self) -> None:
        now_ms = self._connection.clock.now_ms()
        if now_ms - self._members_ms < MEMBERS_INTERVAL_MS:
            return
        self._members_ms = now_ms
        try:
            self._routers = find_routers(self._connection)
        except CommandError:
            # The routers that are known can be followed without the service.
            return

    def _ask(self, client: AdminClient) -> list[dict[str, object]] | Unavailable:
        position = self._positions.setdefault(client.address, Position())
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

    def _take(self, answer: Answer) -> list[dict[str, object]]:
        if isinstance(answer.result, Unavailable):
            self.silent[answer.router.name] = answer.result.reason
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

    An event stands after all that may have caused it. Each line has the wall time
    (UTC), the logical time, the router and what happened. Routers keep their last
    events only. With --routers it works while the key-value service is down.

    Examples::

        lagoonctl timeline --follow
        lagoonctl timeline --server cordero/asistente/asistente-3 --format json
        lagoonctl timeline --domain cordero/norte --format svg > timeline.svg

    Args:
        connection: Key-value service and routers.
        follow: Go on showing new events until interrupted.
        request: Only events of this request.
        server: Only events of this backend server.
        account: Only events of this client account.
        domain: Only events of this failure domain. Without SIDE/ or SIDE/SERVICE/
            before the name, a failure domain, server or account stands for all of
            that name.
        format: text (else), json with one event a line, or svg.
    """
    filters = {
        "request": request,
        "server": server,
        "account": account,
        "failure_domain": domain,
    }
    wanted = {field: value for field, value in filters.items() if value}
    # One JSON object on standard output would only be whole when nobody follows.
    render = _RENDER["json" if follow and connection.is_json else format]
    if follow and format == "svg":
        raise BadInputError("an svg cannot be followed", "use --format text or json")
    reader = TimelineReader(connection)
    if follow:
        return _follow(reader, wanted, render)
    read = reader.read()
    events = select_events(read, wanted)
    error = no_answer_error(reader.answered, reader.silent)
    notes = [f"no events of {name}: {why}" for name, why in reader.silent.items()]
    if read and not events:
        notes.append(_describe_no_match(wanted, len(read)))
    data = {"events": events, "no_answer": reader.silent}
    return Report(data, render(events).splitlines(), notes, error)


def _describe_no_match(wanted: dict[str, str], kept: int) -> str:
    filters = ", ".join(f"{field} {value[:200]}" for field, value in wanted.items())
    return f"none of the {kept} events that the routers keep is of {filters}"


def _follow(
    reader: TimelineReader,
    wanted: dict[str, str],
    render: Callable[[list], str],
) -> Report:
    """Print new events until the command is interrupted."""
    try:
        while True:
            events = select_events(reader.read(), wanted)
            print(render(events), end="", flush=True)
            eventlet.sleep(POLL_INTERVAL_S)
    except KeyboardInterrupt:
        return Report({"no_answer": reader.silent})


_RENDER: dict[str, Callable[[list], str]] = {
    "text": render_text,
    "json": render_json_lines,
    "svg": render_svg,
}
