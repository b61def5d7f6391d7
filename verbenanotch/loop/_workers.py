"""Greenthreads that are used again."""

import sys
import traceback

import eventlet
import greenlet
from eventlet import hubs

# An idle greenthread keeps about 20 KB.
MAX_IDLE = 128


class Workers:
    """Run each task in a greenthread, an idle one if there is any.

    Each new greenthread maps memory for its stack and unmaps it at its end,
    which costs more than the switch to it.
    """

    def __init__(self, *, max_idle=MAX_IDLE):
        """Keep at most so many greenthreads for later tasks."""
        self._max_idle = max_idle
        self._idle = []

    def run(self, task, *args):
        """Run `task` soon; it reports its own failures."""
        if self._idle:
            hubs.get_hub().schedule_call_global(
                0, self._idle.pop().switch, (task, args)
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
            if len(self._idle) >= self._max_idle:
                return
            del task, args
            task, args = self._wait_for_task()

    def _wait_for_task(self):
        """Wait for the next task and its arguments."""
        worker = greenlet.getcurrent()
        self._idle.append(worker)
        try:
            return hubs.get_hub().switch()
        except BaseException:
            # A timer that a task left behind ends the greenthread; a later
            # task must not be given to it.
            if worker in self._idle:
                self._idle.remove(worker)
            raise
