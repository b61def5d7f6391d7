"""Bounded turns of the event loop.

A turn is what runs between two looks at the sockets: the readers of those
that are readable, then the tasks that are due, which are timers and
greenthreads that were made runnable. Eventlet's hub runs all of them, so that
a backlog of tasks hides for its whole length what arrives meanwhile, and many
readers keep the tasks waiting.
"""

import heapq
import sys

import attrs
import eventlet
from eventlet import hubs
from eventlet.hubs import epolls

# Of the readers and of the tasks of a turn, each.
MAX_PART_SECONDS = 0.05
# Of which the readers run before the time is looked at.
MAX_BATCH_SOCKETS = 16


@attrs.frozen(kw_only=True)
class LongestParts:
    """The longest time that the sockets and the tasks of a turn took."""

    sockets_seconds: float = 0.0
    tasks_seconds: float = 0.0


class Turn:
    """Decide when a part of a turn has to end; keep the longest ones.

    Times are in monotonic seconds.
    """

    def __init__(self):
        """Start before the first turn."""
        self._sockets_at = None
        self._tasks_at = None
        self._sockets_seconds = 0.0
        self._tasks_seconds = 0.0

    def begin_sockets(self, now):
        """Begin a turn: the sockets have been looked at."""
        self._sockets_at = now

    def begin_tasks(self, now):
        """End the readers' part of the turn and begin that of the tasks."""
        if self._sockets_at is not None:
            seconds = now - self._sockets_at
            if seconds > self._sockets_seconds:
                self._sockets_seconds = seconds
            self._sockets_at = None
        self._tasks_at = now

    def end_tasks(self, now):
        """End the tasks' part of the turn."""
        seconds = now - self._tasks_at
        if seconds > self._tasks_seconds:
            self._tasks_seconds = seconds
        self._tasks_at = None

    def is_part_over(self, now):
        """Return whether the rest of the part has to wait for a later turn."""
        began_at = (
            self._sockets_at if self._tasks_at is None else self._tasks_at
        )
        return began_at is not None and now - began_at >= MAX_PART_SECONDS

    def take_longest(self):
        """Return the LongestParts since the last call."""
        longest = LongestParts(
            sockets_seconds=self._sockets_seconds,
            tasks_seconds=self._tasks_seconds,
        )
        self._sockets_seconds = self._tasks_seconds = 0.0
        return longest


class TurnHub(epolls.Hub):
    """Eventlet's hub with bounded turns.

    Tasks that are due but not run keep their order and are run in the next
    turns, after the sockets have been looked at again. Sockets that are ready
    but were not read come first in the next turn.
    """

    is_available = staticmethod(epolls.is_available)

    def __init__(self, clock=None):
        """Take the arguments of eventlet's hub."""
        super().__init__(clock=clock)
        self.turn = Turn()
        self._reported = set()
        self._has_more = False

    def wait(self, seconds=None):
        """Run the readers of ready sockets, once each; a turn begins.

        Waits for at most `seconds` for the first one. Ends early once the
        part is over.
        """
        self._reported.clear()
        super().wait(seconds)
        while self._has_more and not self.turn.is_part_over(self.clock()):
            self._has_more = False
            super().wait(0)
        self._has_more = False

    def do_poll(self, seconds):
        """Return at most MAX_BATCH_SOCKETS of those that are ready.

        The kernel moves those that it reports to the end of its list, so one
        that comes again comes after all others.
        """
        ready = self.poll.poll(seconds, MAX_BATCH_SOCKETS)
        if not self._reported:
            self.turn.begin_sockets(self.clock())
        filenos = {fileno for fileno, _ in ready}
        is_full = len(ready) == MAX_BATCH_SOCKETS
        self._has_more = is_full and self._reported.isdisjoint(filenos)
        self._reported |= filenos
        return ready

    def fire_timers(self, when):
        """Run the tasks that are due at `when`, until the part is over."""
        self.turn.begin_tasks(self.clock())
        while self.timers and self.timers[0][0] <= when:
            _, timer = heapq.heappop(self.timers)
            self._fire(timer)
            if self.turn.is_part_over(self.clock()):
                break
        self.turn.end_tasks(self.clock())

    def _fire(self, timer):
        if timer.called:
            self.timers_canceled -= 1
            return
        try:
            timer()
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            self.squelch_timer_exception(timer, sys.exc_info())


def bound_turns():
    """Bound the turns of the event loop of this process.

    Has to be called before anything waits or is scheduled.
    """
    hubs.use_hub(TurnHub)


def is_part_over():
    """Return whether work that can wait has to wait for a later turn."""
    hub = hubs.get_hub()
    return isinstance(hub, TurnHub) and hub.turn.is_part_over(hub.clock())


def take_longest_parts():
    """Return the LongestParts of the turns since the last call."""
    hub = hubs.get_hub()
    if isinstance(hub, TurnHub):
        return hub.turn.take_longest()
    return LongestParts()


def spawn_first(function, *args):
    """Run a function in a greenthread ahead of all tasks that are due."""
    eventlet.spawn_after(-hubs.get_hub().clock(), function, *args)
