"""Greenthreads that are used again."""

import sys
import traceback

import eventlet
import greenlet
from eventlet import hubs

# A resting greenthread keeps about 20 KB.
MAX_RESTING = 128


class Workers:
    """Run each task in a greenthread, a resting one if there is any.

    Each new greenthread maps memory for its stack and unmaps it at its end,
    which costs more than the switch to it.
    """

    def __init__(self, *, max_resting=MAX_RESTING):
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
            del task, args
            task, args = self._rest()

    def _rest(self):
        """Wait for the next task and its arguments."""
        worker = greenlet.getcurrent()
        self._resting.append(worker)
        try:
            return hubs.get_hub().switch()
        except BaseException:
            # A timer that a task left behind ends the greenthread; a later
            # task must not be given to it.
            if worker in self._resting:
                self._resting.remove(worker)
            raise
