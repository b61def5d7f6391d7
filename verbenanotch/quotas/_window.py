"""Counts over a sliding window."""

import collections
import math

# Bursts are bounded over any window of this length.
WINDOW_SECONDS = 5.0
SLOT_SECONDS = 0.25
# Usage before the first report is known over these times: a short one shows a
# surge that the whole window hides. A surge that began between two of them
# may exceed the limit by the rate of their difference, a tenth of the window.
RECENT_SECONDS = tuple(
    WINDOW_SECONDS * tenths / 10 for tenths in range(10, 0, -1)
)


class SlidingCount:
    """Number of events in the last `WINDOW_SECONDS`, in slots of time."""

    def __init__(self):
        """Start with no events."""
        self._slots = collections.deque()
        self._total = 0

    def add(self, now):
        """Count an event."""
        slot = int(now / SLOT_SECONDS)
        if self._slots and self._slots[-1][0] == slot:
            self._slots[-1][1] += 1
        else:
            self._slots.append([slot, 1])
        self._total += 1

    def take_back(self, time):
        """Uncount an event; return False if it is not in the window.

        Uncounted now, it would be taken off once more when it leaves.
        """
        slot = int(time / SLOT_SECONDS)
        for item in self._slots:
            if item[0] == slot and item[1]:
                item[1] -= 1
                self._total -= 1
                return True
        return False

    def total(self, now):
        """Return the number of events in the window."""
        first = int((now - WINDOW_SECONDS) / SLOT_SECONDS)
        while self._slots and self._slots[0][0] < first:
            self._total -= self._slots.popleft()[1]
        return self._total

    def totals(self, now):
        """Return the number of events in each of `RECENT_SECONDS`."""
        self.total(now)
        remaining = self._total
        slots = iter(self._slots)
        slot, count = next(slots, (math.inf, 0))
        totals = []
        for seconds in RECENT_SECONDS:
            first = int((now - seconds) / SLOT_SECONDS)
            while slot < first:
                remaining -= count
                slot, count = next(slots, (math.inf, 0))
            totals.append(remaining)
        return tuple(totals)

    def seconds_until_below(self, count, now):
        """Return the time until fewer than `count` events remain."""
        remaining = self.total(now)
        for slot, slot_count in self._slots:
            remaining -= slot_count
            if remaining < count:
                end = (slot + 1) * SLOT_SECONDS + WINDOW_SECONDS
                return max(0.0, end - now)
        return WINDOW_SECONDS
