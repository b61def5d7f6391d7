"""Wake one waiting greenthread when something has changed."""

import eventlet
from eventlet import event


class AutoResetEvent:
    """A flag that one greenthread waits for and clears."""

    def __init__(self):
        """Start unset."""
        self._event = event.Event()

    def set(self):
        """Set the flag; set again before a wait, it counts once."""
        if not self._event.ready():
            self._event.send()

    def wait(self, timeout_seconds=None):
        """Wait for the flag and clear it; return False after the time."""
        with eventlet.Timeout(timeout_seconds, False):
            self._event.wait()
        if not self._event.ready():
            return False
        self._event = event.Event()
        return True
