"""Adaptive limit of the requests in flight at one target.

Source: the gradient algorithm of Netflix's concurrency-limits, 2018: compare
the latency without queueing with the current latency, and shrink the limit by
their ratio.
"""

import attrs

MAX_LIMIT_PER_SLOT = 2
# The gradient is below 1 only if the short-term latency exceeds the long-term
# latency by more than this factor.
LATENCY_TOLERANCE = 1.5
SHORT_TERM_EWMA_WEIGHT = 0.1
LONG_TERM_EWMA_WEIGHT = 0.005
REFUSAL_FACTOR = 0.9
# Weight of the newly computed limit in the moving average of the limit.
SMOOTHING = 0.2
MIN_GRADIENT = 0.5


@attrs.define(kw_only=True)
class AdaptiveLimit:
    """Limit between 1 and `MAX_LIMIT_PER_SLOT` times the target's slots.

    A fixed limit stays at the number of slots. Latencies are in seconds. The
    long-term latency rises slowly but falls immediately with the short-term
    latency, so that a slowdown is compared with the latency before it.
    """

    slots: int
    is_fixed: bool = False
    value: float = attrs.field(
        default=attrs.Factory(lambda self: float(self.slots), takes_self=True)
    )
    short_term_seconds: float = 0.0
    long_term_seconds: float = 0.0

    @property
    def maximum(self):
        """Return the maximum value of the limit."""
        return float(self.slots * MAX_LIMIT_PER_SLOT)

    def observe(self, latency_seconds, in_flight):
        """Update the limit with the latency of one answered request.

        `in_flight` is the number of requests in flight when it ended. The
        limit changes only while at least half of it is in use: below that,
        the load is not what makes the target slow, and the latency gives no
        information about the target's capacity.
        """
        if self.is_fixed:
            return
        if self.long_term_seconds == 0.0:
            self.short_term_seconds = latency_seconds
            self.long_term_seconds = latency_seconds
        self.short_term_seconds += SHORT_TERM_EWMA_WEIGHT * (
            latency_seconds - self.short_term_seconds
        )
        self.long_term_seconds = min(
            self.short_term_seconds,
            self.long_term_seconds
            + LONG_TERM_EWMA_WEIGHT
            * (latency_seconds - self.long_term_seconds),
        )
        gradient = self._gradient()
        # Lets the limit grow while the latency stays the same.
        headroom = self.value**0.5 if in_flight * 2 >= self.value else 0.0
        if headroom == 0.0:
            return
        self._adjust_towards(self.value * gradient + headroom)

    def record_refusal(self):
        """Shrink the limit after the target or its proxy refused a request."""
        if self.is_fixed:
            return
        self.value = max(1.0, self.value * REFUSAL_FACTOR)

    def _gradient(self):
        if self.short_term_seconds <= 0.0:
            return 1.0
        latency_ratio = (
            LATENCY_TOLERANCE
            * self.long_term_seconds
            / self.short_term_seconds
        )
        return min(1.0, max(MIN_GRADIENT, latency_ratio))

    def _adjust_towards(self, proposed):
        smoothed = (1 - SMOOTHING) * self.value + SMOOTHING * proposed
        self.value = min(self.maximum, max(1.0, smoothed))
