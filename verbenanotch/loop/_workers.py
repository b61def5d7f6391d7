"""A pool of reusable greenthreads."""

import eventlet
import greenlet
from eventlet import hubs

from verbenanotch.loop._failures import report_failure

# An idle greenthread keeps about 20 KB.
MAX_IDLE = 128


class Workers:
    """Run each task in a greenthread, reusing an idle one if there is any.

    A new greenthread maps memory for its stack and unmaps it at its end,
    which costs more than switching to an idle one.
    """

    def __init__(self, *, max_idle=MAX_IDLE):
        """Keep at most `max_idle` greenthreads for later tasks."""
        self._max_idle = max_idle
        self._idle = []

    def run(self, task, *args):
        """Schedule `task`, which must report its own failures."""
        if self._idle:
            hubs.get_hub().schedule_call_global(
                0, self._idle.pop().switch, (task, args)
            )
        else:
            # A greenthread keeps its arguments until it ends.
            eventlet.spawn_n(self._run_tasks, [(task, args)])

    def _run_tasks(self, first):
        task, args = first.pop()
        while True:
            try:
                task(*args)
            except Exception:
                # An exception that a task does not handle must not end the
                # greenthread.
                report_failure()
            if len(self._idle) >= self._max_idle:
                return
            del task, args
            task, args = self._next_task()

    def _next_task(self):
        """Wait for the next task; return it and its arguments."""
        worker = greenlet.getcurrent()
        self._idle.append(worker)
        try:
            return hubs.get_hub().switch()
        except BaseException:
            # A timeout that a task did not cancel ends the greenthread here;
            # no later task may be given to it.
            if worker in self._idle:
                self._idle.remove(worker)
            raise
