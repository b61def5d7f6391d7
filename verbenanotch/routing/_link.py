"""Order in which large answers use a host's link.

The load pattern: targets hand out answers of some 100 KB faster than the link
of their host carries them. What waits in the link delays the small answers of
calls that other targets wait for, until those miss their deadlines and fail
the requests that made them.
"""

# Share of the link that large answers may use together. The rest is for small
# answers, which never wait here.
LARGE_ANSWER_SHARE = 0.8
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LinkPacer:
    """Grants times on a link to one large answer after the other.

    Answers that share the link at once would all arrive late; one after the
    other, the first ones arrive early and none arrives later. Times are in
    monotonic seconds.
    """

    def __init__(self, *, link_mbps):
        """Pace a link of `link_mbps` million bits per second; 0: no pacing."""
        self._bytes_per_second = (
            link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * LARGE_ANSWER_SHARE
        )
        self._free_at = 0.0
        self._expected_bytes = 0.0

    def expect(self, size):
        """Count an answer of about `size` bytes that a target is making."""
        self._expected_bytes += size

    def stop_expecting(self, size):
        """Count the end of a call that `expect` counted."""
        self._expected_bytes = max(0.0, self._expected_bytes - size)

    def seconds_for(self, size):
        """Return how long `size` bytes occupy the link's share."""
        if not self._bytes_per_second:
            return 0.0
        return size / self._bytes_per_second

    def backlog_seconds(self, now):
        """Return how long the granted answers still occupy the link."""
        return max(0.0, self._free_at - now)

    def busy_seconds(self, now):
        """Return how long granted and expected answers occupy the link."""
        return self.backlog_seconds(now) + self.seconds_for(
            self._expected_bytes
        )

    def reserve(self, size, now):
        """Grant the link to `size` bytes; return the wait until they start."""
        wait_seconds = self.backlog_seconds(now)
        self._free_at = now + wait_seconds + self.seconds_for(size)
        return wait_seconds

    def is_ready_in_time(self, size, *, deadline, now):
        """Return whether an answer that is ready can be sent in time."""
        start = now + self.backlog_seconds(now)
        return start + self.seconds_for(size) <= deadline

    def can_be_in_time(self, size, *, deadline, now):
        """Return whether an answer that is still to be made can be in time.

        All answers that are expected go before it.
        """
        start = now + self.busy_seconds(now)
        return start + self.seconds_for(size) <= deadline
