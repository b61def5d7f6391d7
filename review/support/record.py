"""The record of a case: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes timed lines to `record.txt` in the folder of a case."""

    def __init__(self, folder):
        """Start a new record; times count from now."""
        self._file = (pathlib.Path(folder) / "record.txt").open(
            "w", encoding="utf-8"
        )
        self._started = time.monotonic()

    def seconds(self):
        """Return the time since the start."""
        return time.monotonic() - self._started

    def write(self, kind, **fields):
        """Write one line, also to standard output."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{self.seconds():8.3f} {kind:<10} {values}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
