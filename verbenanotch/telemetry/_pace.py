"""A bound on the log lines about things that happen often."""

MIN_INTERVAL_SECONDS = 1.0
# Keys whose last line is remembered; more would grow without bound.
MAX_KEYS = 10_000


class LinePace:
    """Admit one log line of a key a second, such as of an account."""

    def __init__(self):
        """Start with no lines."""
        self._last_by_key = {}

    def admit(self, key, now):
        """Return whether a line of the key may be logged now.

        `now` is in monotonic seconds.
        """
        last = self._last_by_key.get(key)
        if last is not None and now - last < MIN_INTERVAL_SECONDS:
            return False
        if len(self._last_by_key) >= MAX_KEYS:
            self._last_by_key.clear()
        self._last_by_key[key] = now
        return True
