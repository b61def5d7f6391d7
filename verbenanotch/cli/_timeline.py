"""Merge the event files and logs of all processes into one timeline.

Each line has one event as a JSON object. A line of an event file has the
event's number in `event`; a line of a log has it in `number` and may begin
with a prefix added by the log collector.
"""

import datetime
import json
import pathlib
import sys

import attrs

from verbenanotch.cli.exceptions import InvalidInputError
from verbenanotch.telemetry import events_by_number, physical_milliseconds

MILLISECONDS_PER_SECOND = 1000
# Keys of an event that are not among the `fields` of its TimelineEntry.
RESERVED_KEYS = frozenset(("hlc", "host", "event", "number", "name", "level"))
FILE_PATTERNS = ("*.events.jsonl", "*.log")
STANDARD_INPUT = "-"


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """One event of one process, ordered by its hybrid logical clock."""

    hlc: int
    host: str
    number: int
    name: str
    level: str
    fields: dict

    def matches(self, *, version="", request="", host=""):
        """Return whether the entry matches all non-empty filters."""
        if host and self.host != host:
            return False
        if version and not self._mentions(version, "version"):
            return False
        return not request or self._mentions(request, "request")

    def _mentions(self, text, name_part):
        """Return whether a field whose name has `name_part` equals `text`."""
        return any(
            name_part in name and str(value) == text
            for name, value in self.fields.items()
        )


@attrs.frozen(kw_only=True)
class Timeline:
    """Entries in the order of the hybrid logical clock.

    `skipped_by_path` counts the lines that are not events, such as a line
    truncated by a crash.
    """

    entries: tuple[TimelineEntry, ...]
    skipped_by_path: dict[str, int]


def read_timeline(paths, *, version="", request="", host=""):
    """Read files and return their merged and filtered Timeline.

    Raises InvalidInputError if a file cannot be read.
    """
    skipped_by_path = {}
    merged = [
        entry
        for path in paths
        for entry in _read_entries(path, skipped_by_path)
        if entry.matches(version=version, request=request, host=host)
    ]
    # A file is unsorted if the host's clock was set back between two starts.
    merged.sort(key=lambda entry: (entry.hlc, entry.host))
    return Timeline(entries=tuple(merged), skipped_by_path=skipped_by_path)


def find_event_files(places):
    """Return the paths of the event files and logs in `places`.

    A directory yields its event files or, if it has none, its logs, which
    contain the same events. The place `-` is the standard input. Raises
    InvalidInputError if there is no file.
    """
    paths = []
    for place in map(pathlib.Path, places):
        if place.is_dir():
            paths += _find_files(place)
        else:
            paths.append(place)
    if not paths:
        raise InvalidInputError(
            "no event file or log was found; name files, directories with "
            f"{' or '.join(FILE_PATTERNS)}, or {STANDARD_INPUT}"
        )
    return paths


def _find_files(directory):
    for pattern in FILE_PATTERNS:
        paths = sorted(directory.rglob(pattern))
        if paths:
            return paths
    return []


def describe_entry(entry):
    """Return one line of text about an entry."""
    milliseconds = physical_milliseconds(entry.hlc)
    moment = datetime.datetime.fromtimestamp(
        milliseconds / MILLISECONDS_PER_SECOND, tz=datetime.UTC
    )
    time = moment.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{key}={value}" for key, value in entry.fields.items())
    event = events_by_number.get(entry.number)
    text = event.text if event else entry.name
    return f"{time} {entry.host} [{entry.number}] {text} {fields}".rstrip()


def to_value(entry):
    """Return an entry as plain JSON values."""
    return attrs.asdict(entry)


def _read_entries(path, skipped_by_path):
    """Return the entries of one file; count its other lines as skipped."""
    try:
        text = _read_text(path)
    except OSError as error:
        raise InvalidInputError(
            f"cannot read {path}: {error.strerror}; give a readable file"
        ) from error
    lines = [line for line in text.split("\n") if line]
    parsed = [_parse_entry(line) for line in lines]
    entries = [entry for entry in parsed if entry is not None]
    if len(entries) < len(lines):
        skipped_by_path[str(path)] = len(lines) - len(entries)
    return entries


def _read_text(path):
    if str(path) == STANDARD_INPUT:
        return sys.stdin.read()
    return pathlib.Path(path).read_text(encoding="utf-8", errors="replace")


def _parse_entry(line):
    """Return the TimelineEntry of a line, or None if it has no event."""
    try:
        values = json.loads(line[max(0, line.find("{")) :])
        return TimelineEntry(
            hlc=int(values["hlc"]),
            host=str(values["host"]),
            number=int(values.get("number", values["event"])),
            name=str(values["name"]),
            level=str(values["level"]),
            fields={
                key: value
                for key, value in values.items()
                if key not in RESERVED_KEYS
            },
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
