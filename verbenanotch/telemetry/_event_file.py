"""The event file, whose disk may refuse writes at any time."""

import json


class EventFile:
    """Append lines to a file; drop those that it doesn't take.

    `notify(line)` is called when it begins to refuse lines, and when it
    takes them again.
    """

    def __init__(self, *, path, notify):
        """Open the file, now or at a later write."""
        self._path = path
        self._notify = notify
        self._file = None
        self._is_torn = False
        self._dropped = 0

    def write(self, line):
        """Append a line, or drop it; never raise OSError."""
        try:
            self._append(line.encode() + b"\n")
        except OSError as error:
            if not self._dropped:
                self._notify_of(f"the event file refuses lines: {error}")
            self._dropped += 1
        else:
            if self._dropped:
                self._notify_of("the event file takes lines again")
            self._dropped = 0

    def _append(self, data):
        if self._file is None:
            # Without a buffer: it would be flushed, and fail, once more.
            self._file = open(  # noqa: SIM115 (open until the process exits)
                self._path, "ab", buffering=0
            )
        if self._is_torn:
            data = b"\n" + data
        written = self._file.write(data)
        self._is_torn = written < len(data)

    def _notify_of(self, text):
        notice = {"event": text, "file": self._path, "lines": self._dropped}
        self._notify(json.dumps(notice))
