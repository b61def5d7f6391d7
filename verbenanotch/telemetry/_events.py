"""Types of events, and their output to the log and the event file."""

import enum
import json

import attrs
import structlog

from verbenanotch.telemetry._clock import clock
from verbenanotch.telemetry._event_file import EventFile
from verbenanotch.telemetry._writer import BoundedWriter

STANDARD_OUTPUT = 1


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class Event:
    """A type of event; `remedy` tells the operator what to do about it."""

    number: int
    name: str
    level: Level
    text: str
    remedy: str = ""


class _LineLogger:
    """Logger of structlog that writes each event as one line.

    Unlike those of structlog it has no lock: a lock that is held while another
    greenthread logs would stop the only thread.
    """

    def __init__(self, writer):
        self._writer = writer

    def msg(self, line):
        self._writer.write(line)

    debug = info = warning = error = msg


class _Output:
    """Outputs of the events, set once at start by `configure`."""

    def __init__(self):
        self.logger = structlog.get_logger()
        self.host = ""
        self.file = None
        self.writer = BoundedWriter(descriptor=STANDARD_OUTPUT)
        self.minimum_level = Level.INFO


events_by_number: dict[int, Event] = {}
_output = _Output()
_RANK_BY_LEVEL = {level: rank for rank, level in enumerate(Level)}


def event(number, name, level, text, remedy=""):
    """Add a type of event to `events_by_number` and return it.

    `text` is the log message. Raises ValueError if the number is already
    used.
    """
    if number in events_by_number:
        raise ValueError(f"event number {number} is already used")
    event_type = Event(
        number=number, name=name, level=level, text=text, remedy=remedy
    )
    events_by_number[number] = event_type
    return event_type


def configure(*, host, log_format="console", event_file=None, level="info"):
    """Send events to the log on standard output and to an event file.

    The log has the events of at least `level`, within the rate limit of
    BoundedWriter. `host` is the name of this host in the log and the file.
    `log_format` is `console` or `json`. `event_file` is the path of a file
    to which events of every level are appended, one JSON object per line.
    """
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[structlog.processors.add_log_level, renderer],
        logger_factory=lambda: _LineLogger(_output.writer),
    )
    _output.logger = structlog.get_logger()
    _output.host = host
    _output.minimum_level = Level(level)
    if event_file is not None:
        _output.file = EventFile(path=event_file, notify=_output.writer.write)


def emit(event_type, **fields):
    """Write an event of this type, with its fields, to the outputs."""
    timestamp = clock.now()
    if _output.file is not None:
        record = {
            "hlc": timestamp,
            "host": _output.host,
            "event": event_type.number,
            "name": event_type.name,
            "level": event_type.level,
            **fields,
        }
        _output.file.write(json.dumps(record, default=str))
    if (
        _RANK_BY_LEVEL[event_type.level]
        < _RANK_BY_LEVEL[_output.minimum_level]
    ):
        return
    if not _output.writer.admit(is_about_request="request" in fields):
        return
    log = getattr(_output.logger, event_type.level.value)
    log(
        event_type.text,
        number=event_type.number,
        name=event_type.name,
        hlc=timestamp,
        host=_output.host,
        **fields,
    )
