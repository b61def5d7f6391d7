"""Work that takes turns, so that there is little of it in a turn of the loop.

Whoever reads from a socket may run whenever bytes arrive. A part of a turn of
the loop is bounded, but nothing bounds what one reader does in it, and
hundreds of them take the loop from everybody else.
"""

import collections

import greenlet
from eventlet import hubs


class TurnQueue:
    """Let one waiting greenthread go on in each turn of the loop.

    They go on in the order in which they came, and should do little before
    they wait again. A greenthread that is ended or timed out while it waits
    leaves the queue.
    """

    def __init__(self):
        """Start with an empty queue."""
        # An ordered set: a greenthread may leave from anywhere.
        self._waiting = collections.OrderedDict()
        self._is_scheduled = False

    def __len__(self):
        """Return the number of greenthreads that wait."""
        return len(self._waiting)

    def wait(self):
        """Wait for a later turn of the loop, in which no one else goes on."""
        waiter = greenlet.getcurrent()
        self._waiting[waiter] = None
        self._schedule()
        try:
            hubs.get_hub().switch()
        finally:
            self._waiting.pop(waiter, None)

    def _schedule(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._release_next)

    def _release_next(self):
        self._is_scheduled = False
        if not self._waiting:
            return
        waiter, _ = self._waiting.popitem(last=False)
        if self._waiting:
            self._schedule()
        waiter.switch()
