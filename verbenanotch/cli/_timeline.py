"""Merge the event files and logs of all processes into one time line.

A line of an event file has the event's number as `event`; one of a log has
it as `number`, and may stand behind whatever collected the log put there.
"""

import datetime
import json
import pathlib
import sys

import attrs

from verbenanotch.cli.exceptions import FaultyInputError
from verbenanotch.telemetry import events_by_number, physical_milliseconds

MILLISECONDS_PER_SECOND = 1000
RESERVED_FIELDS = frozenset(
    ("hlc", "host", "event", "number", "name", "level")
)
PATTERNS = ("*.events.jsonl", "*.log")
STANDARD_INPUT = "-"


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """One event of one process; `hlc` orders it among all others."""

    hlc: int
    host: str
    number: int
    name: str
    level: str
    fields: dict

    def matches(self, *, version="", request="", host=""):
        """Tell whether the entry passes the filters that are not empty."""
        if host and self.host != host:
            return False
        if version and not self._mentions(version, "version"):
            return False
        return not request or self._mentions(request, "request")

    def _mentions(self, value, word):
        """Tell whether a field whose name has the word holds the value."""
        return any(
            word in key and str(item) == value
            for key, item in self.fields.items()
        )


@attrs.frozen(kw_only=True)
class Timeline:
    """Entries in the order of the hybrid logical clock.

    `skipped_by_path` counts lines that are no events, such as one that a
    crash cut short.
    """

    entries: tuple[TimelineEntry, ...]
    skipped_by_path: dict[str, int]


def read_timeline(paths, *, version="", request="", host=""):
    """Return the merged Timeline of event files, filtered.

    Raises FaultyInputError if a file cannot be read.
    """
    skipped_by_path = {}
    merged = [
        entry
        for path in paths
        for entry in _read_entries(path, skipped_by_path)
        if entry.matches(version=version, request=request, host=host)
    ]
    # A file is not sorted if the host's clock went back between two starts.
    merged.sort(key=lambda entry: (entry.hlc, entry.host))
    return Timeline(entries=tuple(merged), skipped_by_path=skipped_by_path)


def find_event_files(places):
    """Return the event files and logs that paths name.

    Folders give their event files or, without any, their logs, which tell
    the same. `-` stands for the standard input.
    """
    paths = []
    for place in map(pathlib.Path, places):
        if place.is_dir():
            paths += _files_in(place)
        else:
            paths.append(place)
    if not paths:
        raise FaultyInputError(
            "no event file or log was found; name files, folders that hold "
            f"{' or '.join(PATTERNS)}, or {STANDARD_INPUT}"
        )
    return paths


def _files_in(folder):
    for pattern in PATTERNS:
        paths = sorted(folder.rglob(pattern))
        if paths:
            return paths
    return []


def describe_entry(entry):
    """Return one line about an event."""
    milliseconds = physical_milliseconds(entry.hlc)
    moment = datetime.datetime.fromtimestamp(
        milliseconds / MILLISECONDS_PER_SECOND, tz=datetime.UTC
    )
    time = moment.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{key}={value}" for key, value in entry.fields.items())
    known = events_by_number.get(entry.number)
    text = known.text if known else entry.name
    return f"{time} {entry.host} [{entry.number}] {text} {fields}".rstrip()


def to_value(entry):
    """Return an entry as plain JSON values."""
    return attrs.asdict(entry)


def _read_entries(path, skipped_by_path):
    """Return the entries of one file; count its other lines."""
    try:
        text = _read_text(path)
    except OSError as error:
        raise FaultyInputError(
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
                if key not in RESERVED_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
