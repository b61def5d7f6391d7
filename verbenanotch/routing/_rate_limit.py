"""Limits of the request rate that targets name for themselves.

The load pattern: a target in need names the requests per second that it takes
from the whole mesh, while callers send it several times as many, through
proxies of different load that are restarted meanwhile. All requests pass the
target's own proxy, which keeps the limit and divides it among the proxies
that send.
"""

import math

# A bucket holds what its rate refills in this time, but at least this much.
BURST_SECONDS = 0.2
MIN_BURST = 2.0
# Share of a bucket that is kept for the most urgent requests.
URGENT_RESERVE = 0.5
# Requests of a rank count as the most urgent ones until this time after the
# last of them.
URGENT_MEMORY_SECONDS = 1.0
# A limit has ended once all answers of this time lacked it: answers may arrive
# in another order than they were made.
END_AFTER_SECONDS = 1.0
# A proxy that has sent nothing for this time gets no share.
DEMAND_MEMORY_SECONDS = 10.0
DEMAND_REFRESH_SECONDS = 0.5


class RateBucket:
    """Token bucket in which half of the burst is kept for urgent requests.

    It starts with no more than one token, so that restarts of its proxy add
    little to the rate. Times are in monotonic seconds.
    """

    def __init__(self, *, rate, now, tokens=1.0):
        """Refill `rate` tokens per second."""
        self.rate = rate
        self._tokens = tokens
        self._refilled_at = now
        self._urgent_rank = math.inf
        self._urgent_at = -math.inf

    def wait_seconds(self, rank, now):
        """Return the time until a request of a rank has a token; 0 for now.

        The lowest rank is the most urgent one.
        """
        self._refill(now)
        missing = 1.0 + self._reserve(rank, now) - self._tokens
        return max(0.0, missing / self.rate)

    def spend(self, rank, now):
        """Take a token, which may be more than there is."""
        self._refill(now)
        self._tokens -= 1.0
        if (
            rank <= self._urgent_rank
            or now - self._urgent_at > URGENT_MEMORY_SECONDS
        ):
            self._urgent_rank = rank
            self._urgent_at = now

    def refund(self, now):
        """Give back a token of a request that has not used the rate."""
        self._refill(now)
        self._tokens = min(self._burst(), self._tokens + 1.0)

    def _burst(self):
        return max(MIN_BURST, self.rate * BURST_SECONDS)

    def _reserve(self, rank, now):
        is_recent = now - self._urgent_at <= URGENT_MEMORY_SECONDS
        if is_recent and rank > self._urgent_rank:
            return self._burst() * URGENT_RESERVE
        return 0.0

    def _refill(self, now):
        added = self.rate * max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst(), self._tokens + added)
        self._refilled_at = now


class NamedLimit:
    """The limit that one start of a target names, at the target's own proxy.

    `rate` is in requests per second; it is 0 while there is no limit. Times
    are in monotonic seconds.
    """

    def __init__(self):
        """Start without a limit."""
        self._bucket = None
        self._has_answered = False
        self._unnamed_since = None
        self._demands_by_sender = {}
        self._total_demand = 0.0
        self._refreshed_at = -math.inf

    @property
    def rate(self):
        """Return the requests per second that the target takes, or 0."""
        return 0.0 if self._bucket is None else self._bucket.rate

    def observe(self, named_rate, now):
        """Record an answer that names a rate, or None; return if it changed.

        The latest rate is valid until the answers of `END_AFTER_SECONDS` name
        none. While there are no answers, the limit stays.
        """
        before = self.rate
        self._has_answered = True
        if named_rate is not None:
            self._unnamed_since = None
            self._set_rate(named_rate, now)
        elif self._bucket is not None:
            if self._unnamed_since is None:
                self._unnamed_since = now
            elif now - self._unnamed_since >= END_AFTER_SECONDS:
                self._bucket = None
        return self.rate != before

    def adopt(self, rate, now):
        """Use a rate that another proxy knows; return whether it is new.

        It is used only by a proxy that has seen no answer of the target: one
        that has restarted.
        """
        if self._has_answered or self._bucket is not None or not rate:
            return False
        self._set_rate(rate, now)
        return True

    def wait_seconds(self, rank, now):
        """Return the time until a request of a rank may run; 0 for now."""
        if self._bucket is None:
            return 0.0
        return self._bucket.wait_seconds(rank, now)

    def spend(self, rank, now):
        """Count a request that is sent to the target."""
        if self._bucket is not None:
            self._bucket.spend(rank, now)

    def share(self, sender, demand, now):
        """Return the part of the limit that a sending proxy may use.

        It follows the proxies' `demand`, the requests per second that their
        callers send for the service.
        """
        self._demands_by_sender[sender] = (demand, now)
        if now - self._refreshed_at >= DEMAND_REFRESH_SECONDS:
            self._refresh(now)
        total = max(self._total_demand, demand)
        return self.rate * demand / total if total > 0 else self.rate

    def _set_rate(self, rate, now):
        if self._bucket is None:
            self._bucket = RateBucket(rate=rate, now=now)
        self._bucket.rate = rate

    def _refresh(self, now):
        """Forget idle senders and sum up the others' demands."""
        self._demands_by_sender = {
            sender: (demand, seen_at)
            for sender, (demand, seen_at) in self._demands_by_sender.items()
            if now - seen_at <= DEMAND_MEMORY_SECONDS
        }
        self._total_demand = sum(
            demand for demand, _ in self._demands_by_sender.values()
        )
        self._refreshed_at = now
