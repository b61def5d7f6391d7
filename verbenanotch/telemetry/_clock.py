"""Hybrid logical clock that orders events across processes.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import time

LOGICAL_BITS = 16
LOGICAL_MASK = (1 << LOGICAL_BITS) - 1
MILLISECONDS_PER_SECOND = 1000


class HybridLogicalClock:
    """Issue increasing timestamps, later than every received one.

    A timestamp is an integer: wall-clock milliseconds since 1970 shifted
    left by `LOGICAL_BITS`, plus a logical counter.
    """

    def __init__(self, *, wall_clock=time.time):
        """Read wall-clock seconds from `wall_clock`."""
        self._wall_clock = wall_clock
        self._last = 0

    def now(self):
        """Return a timestamp greater than every earlier one."""
        milliseconds = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        self._last = max(self._last + 1, milliseconds << LOGICAL_BITS)
        return self._last

    def observe(self, timestamp):
        """Make later timestamps greater than a received `timestamp`."""
        if timestamp > self._last:
            self._last = timestamp


def physical_milliseconds(timestamp):
    """Return a timestamp's wall-clock part in milliseconds since 1970."""
    return timestamp >> LOGICAL_BITS


clock = HybridLogicalClock()
