"""Greenthreads that are used again."""

import sys
import traceback

import eventlet
import greenlet
from eventlet import hubs


class Workers:
    """Run each task in a greenthread, a resting one if there is any.

    Each new greenthread maps memory for its stack and unmaps it at its end,
    which costs more than the switch to it.
    """

    def __init__(self, *, max_resting):
        """Keep at most so many greenthreads for later tasks."""
        self._max_resting = max_resting
        self._resting = []

    def run(self, task, *args):
        """Run `task` soon; it reports its own failures."""
        if self._resting:
            hubs.get_hub().schedule_call_global(
                0, self._resting.pop().switch, (task, args)
            )
        else:
            eventlet.spawn_n(self._work, task, args)

    def _work(self, task, args):
        while True:
            try:
                task(*args)
            except Exception:
                # A task that reports nothing must not end the greenthread.
                traceback.print_exc(file=sys.stderr)
            if len(self._resting) >= self._max_resting:
                return
            self._resting.append(greenlet.getcurrent())
            del task, args
            task, args = hubs.get_hub().switch()
