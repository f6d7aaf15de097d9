"""Numbered log events, one JSON line each, and their catalogue.

docs/events.md is generated from the catalogue. A number must never be reused for another meaning.
"""

import logging
import sys
from dataclasses import dataclass
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log event.

    Attributes:
        number: stable number, never reused.
        level: level of the logging module.
        text: description of what happened.
        operator_action: recommended action of an operator, or "nothing".
    """

    number: int
    level: int
    text: str
    operator_action: str


INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

STARTED = Event(1001, INFO, "process started", "nothing")
STOPPING = Event(1002, INFO, "process is stopping", "nothing")
STOPPED = Event(1003, INFO, "process stopped", "nothing")
TASK_FAULT = Event(1004, ERROR, "a task ended by an exception", "report it with the trace")
SETTINGS_RELOADED = Event(1005, INFO, "the settings file changed and was read again", "nothing")
SETTINGS_REJECTED = Event(
    1006,
    ERROR,
    "the settings file changed and has faults",
    "correct the file; the process keeps the settings that it had",
)
METRICS_LOGGED = Event(1007, INFO, "the metrics of this process", "nothing")
FRAME_REJECTED = Event(
    1101,
    WARNING,
    "a malformed frame from another process was rejected",
    "see whether a program of another version is running",
)
REQUEST_MALFORMED = Event(1201, INFO, "a malformed request was rejected", "nothing")
JOURNAL_TAIL_TRUNCATED = Event(
    1301, WARNING, "a torn tail of the journal was truncated", "nothing; it follows a loss of power"
)
JOURNAL_DAMAGED = Event(
    1302,
    ERROR,
    "the journal is damaged before its tail",
    "replace the disk; the node takes a snapshot under a new identity",
)
JOURNAL_FULL = Event(
    1303,
    ERROR,
    "the disk takes no more writes; nothing is acknowledged",
    "free space or replace the machine",
)
SNAPSHOT_WRITTEN = Event(1304, INFO, "a snapshot was written", "nothing")
CLUSTER_BOOTSTRAPPED = Event(1401, INFO, "the seeds bootstrapped a consensus group", "nothing")
BECAME_LEADER = Event(1402, INFO, "this node became the leader", "nothing")
BECAME_FOLLOWER = Event(1403, INFO, "this node became a follower", "nothing")
LEADER_STEPPED_DOWN = Event(
    1404,
    WARNING,
    "a leader stepped down without a majority",
    "see whether control nodes or their network are down",
)
VOTERS_CHANGED = Event(1405, INFO, "the set of voters changed", "nothing")
SNAPSHOT_INSTALLED = Event(1406, INFO, "a node that was behind installed a snapshot", "nothing")
LEADER_LOST = Event(
    1407,
    WARNING,
    "this control node has no contact with a leader",
    "see whether it is partitioned, or whether a majority of the voters is down",
)
LEADER_FOUND = Event(1408, INFO, "this control node has contact with a leader again", "nothing")
VOTER_LEAVING = Event(
    1409, INFO, "this control node stops and a standby replaces it as voter", "nothing"
)
VOTER_LOST = Event(
    1410,
    WARNING,
    "a voter acknowledged nothing for too long, or another disk was found in its place",
    "nothing where there is a standby; else bring the machine back or add one",
)
ROLE_ASSIGNED = Event(1501, INFO, "a singleton role has a new owner", "nothing")
ROLE_FENCED = Event(
    1502, WARNING, "a write of a former owner of a singleton role was fenced off", "nothing"
)
CHANGE_ACCEPTED = Event(1601, INFO, "a change was accepted", "nothing")
CHANGE_REJECTED = Event(1602, INFO, "a change was rejected", "nothing")
PURGE_ACCEPTED = Event(1603, INFO, "a purge was accepted", "nothing")
VERDICT_COMMITTED = Event(
    1701, INFO, "a health verdict was committed", "when a zone is down: see its probe results"
)
VERDICT_OUTDATED = Event(
    1702,
    WARNING,
    "a health verdict that reached the leader too late was rejected",
    "nothing; it is evaluated again. If it stays, see the network between control nodes",
)
WATCH_DERIVED = Event(
    1703,
    INFO,
    "a watch was derived from an object that was served",
    "nothing; a configured watch for a route of that service replaces it",
)
WATCH_ENDED = Event(1704, INFO, "a derived watch ended, since its object is gone", "nothing")
SESSION_STARTED = Event(1801, INFO, "a node became a member", "nothing")
SESSION_ENDED = Event(1802, WARNING, "a node's session ended", "see whether its machine runs")
SERVER_LIST_REJECTED = Event(
    1803, WARNING, "a server list of the platform was rejected", "see what the platform sends"
)
SERVER_LIST_UNAVAILABLE = Event(
    1804,
    WARNING,
    "the platform returns no server list",
    "see whether the platform runs; edges stop sending to servers",
)
SERVER_LIST_TAKEOVER = Event(
    1805,
    WARNING,
    "readings of the server list are overdue; this node reads it in place of its reader",
    "see whether the reader's machine runs",
)
LEASE_EXPIRED = Event(
    1901,
    WARNING,
    "this edge's lease expired; it rejects requests",
    "see whether the control nodes have a majority",
)
LEASE_ACQUIRED = Event(1902, INFO, "this edge holds a lease again", "nothing")
LEASE_GRANTED_BY_QUORUM = Event(
    1903,
    WARNING,
    "no leader; this edge serves on a lease granted by a majority of voters",
    "see whether control nodes or their network are down",
)
SERVER_EJECTED = Event(1904, WARNING, "a server was ejected", "see the server's own log")
SERVER_READMITTED = Event(1905, INFO, "an ejected server was readmitted", "nothing")
RESPONSE_BROKEN = Event(
    1906, WARNING, "a server's response was cut or malformed", "see the server's own log"
)

CATALOGUE: tuple[Event, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


class Log:
    """Writes the events of one process to a stream."""

    __slots__ = ("logger", "node")

    def __init__(self, node: str, stream: TextIO | None = None) -> None:
        """Create the log of a node; the default stream is stderr."""
        self.node = node
        self.logger = logging.Logger(f"ryelock.{node}", logging.INFO)
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level", "message": "text"},
            )
        )
        self.logger.addHandler(handler)

    def write(self, event: Event, **fields: object) -> None:
        """Write one event as a JSON line with additional fields."""
        self.logger.log(
            event.level, event.text, extra={"event": event.number, "node": self.node, **fields}
        )


class RecordingLog(Log):
    """Records the numbers and fields of events, for tests and the simulator."""

    __slots__ = ("records",)

    def __init__(self, node: str) -> None:
        """Create an empty log, which writes to no stream."""
        self.node = node
        self.records: list[tuple[int, dict[str, object]]] = []

    def write(self, event: Event, **fields: object) -> None:
        """Record the event's number and fields."""
        self.records.append((event.number, fields))


def catalogue_page() -> str:
    """Return the text of docs/events.md, generated from the catalogue."""
    lines = [
        "# Event catalogue",
        "",
        "Printed by `python -m ryelock.events`. Every line of the log is one JSON object with",
        "`time`, `level`, `node`, `event` (the number) and `text`, and fields of its own.",
        "",
        "| event | level | what happened | what it asks of you |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {event.number} | {logging.getLevelName(event.level).lower()} "
        f"| {event.text} | {event.operator_action} |"
        for event in CATALOGUE
    ]
    return "\n".join(lines) + "\n"
