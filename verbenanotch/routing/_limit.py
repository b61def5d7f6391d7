"""Adaptive limit of the requests in flight at one target.

Source: the gradient idea of Netflix's concurrency-limits, 2018: compare the
latency without queueing with the present one, and shrink by their ratio.
"""

import attrs

LIMIT_SLOT_FACTOR = 2
LATENCY_TOLERANCE = 1.5
SHORT_TERM_WEIGHT = 0.1
LONG_TERM_WEIGHT = 0.005
REFUSAL_FACTOR = 0.9
SMOOTHING = 0.2
MIN_GRADIENT = 0.5


@attrs.define(kw_only=True)
class AdaptiveLimit:
    """Limit between 1 and `LIMIT_SLOT_FACTOR` times the target's slots.

    A fixed one stays at the slots. Latencies are in seconds. The long-term
    latency follows slowly, and at once downwards, so that a slowdown is
    compared with better times.
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
        """Return the greatest value that the limit can take."""
        return float(self.slots * LIMIT_SLOT_FACTOR)

    def observe(self, latency_seconds, in_flight):
        """Follow the latency of one answered request.

        `in_flight` counts the requests in flight when it ended. The limit
        moves only while at least half of it is in use: otherwise the load
        is not what makes the target slow, and says nothing about capacity.
        """
        if self.is_fixed:
            return
        if self.long_term_seconds == 0.0:
            self.short_term_seconds = latency_seconds
            self.long_term_seconds = latency_seconds
        self.short_term_seconds += SHORT_TERM_WEIGHT * (
            latency_seconds - self.short_term_seconds
        )
        self.long_term_seconds = min(
            self.short_term_seconds,
            self.long_term_seconds
            + LONG_TERM_WEIGHT * (latency_seconds - self.long_term_seconds),
        )
        gradient = self._gradient()
        headroom = self.value**0.5 if in_flight * 2 >= self.value else 0.0
        if headroom == 0.0:
            return
        self._move_to(self.value * gradient + headroom)

    def record_refusal(self):
        """Shrink after the target, or its proxy, shed a request."""
        if self.is_fixed:
            return
        self.value = max(1.0, self.value * REFUSAL_FACTOR)

    def _gradient(self):
        if self.short_term_seconds <= 0.0:
            return 1.0
        ratio = (
            LATENCY_TOLERANCE
            * self.long_term_seconds
            / self.short_term_seconds
        )
        return min(1.0, max(MIN_GRADIENT, ratio))

    def _move_to(self, proposed):
        smoothed = (1 - SMOOTHING) * self.value + SMOOTHING * proposed
        self.value = min(self.maximum, max(1.0, smoothed))
