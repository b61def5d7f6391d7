"""Counts over a sliding window."""

import collections

# Bursts are bounded over any window of this length.
WINDOW_SECONDS = 5.0
# Usage before the first report is known over these times: a short one shows a
# surge that the whole window hides.
RECENT_SECONDS = (WINDOW_SECONDS, 2.0, 1.0)
SLOT_SECONDS = 0.25


class SlidingCount:
    """Number of events in the last `WINDOW_SECONDS`, in slots of time."""

    def __init__(self):
        """Start with no events."""
        self._slots = collections.deque()
        self._total = 0

    def add(self, now, count=1):
        """Count events; a negative count takes back earlier ones."""
        slot = int(now / SLOT_SECONDS)
        if self._slots and self._slots[-1][0] == slot:
            self._slots[-1][1] += count
        else:
            self._slots.append([slot, count])
        self._total += count

    def total(self, now):
        """Return the number of events in the window."""
        first = int((now - WINDOW_SECONDS) / SLOT_SECONDS)
        while self._slots and self._slots[0][0] < first:
            self._total -= self._slots.popleft()[1]
        return max(0, self._total)

    def totals(self, now):
        """Return the number of events in each of `RECENT_SECONDS`."""
        whole = self.total(now)
        return (
            whole,
            *(self._count_since(now - s) for s in RECENT_SECONDS[1:]),
        )

    def _count_since(self, time):
        first = int(time / SLOT_SECONDS)
        return max(
            0, sum(count for slot, count in self._slots if slot >= first)
        )

    def seconds_until_below(self, count, now):
        """Return the time until fewer than `count` events remain."""
        remaining = self.total(now)
        for slot, slot_count in self._slots:
            remaining -= slot_count
            if remaining < count:
                end = (slot + 1) * SLOT_SECONDS + WINDOW_SECONDS
                return max(0.0, end - now)
        return WINDOW_SECONDS
