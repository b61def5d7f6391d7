"""An event that one greenthread waits for and clears."""

import eventlet
from eventlet import event


class AutoResetEvent:
    """A flag that is cleared when the greenthread that waits for it wakes."""

    def __init__(self):
        """Start unset."""
        self._event = event.Event()

    def set(self):
        """Set the flag; further calls before the next wait have no effect."""
        if not self._event.ready():
            self._event.send()

    def wait(self, timeout_seconds=None):
        """Wait for the flag and clear it; return False on timeout."""
        with eventlet.Timeout(timeout_seconds, False):
            self._event.wait()
        if not self._event.ready():
            return False
        self._event = event.Event()
        return True
