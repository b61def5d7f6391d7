"""What a proxy knows of one target, from its own requests first."""

import enum

import attrs

from verbenanotch.routing._limit import AdaptiveLimit

EWMA_WEIGHT = 0.2
ERROR_WEIGHT = 0.2
UNHEALTHY_ERROR_SHARE = 0.5
HINT_HALF_LIFE_SECONDS = 2.0
HINT_MAX_AGE_SECONDS = 10.0
OWN_VIEW_SECONDS = 5.0
HINT_WEIGHT = 0.5
HINT_WEIGHT_BESIDE_OWN_VIEW = 0.1
ERROR_PENALTY = 4.0
# Loads that are older than this say nothing of a target's present state; it
# is tried again by a request or two.
LOAD_MAX_AGE_SECONDS = 1.5
# A target whose slots are all taken has no room for the next burst: it
# counts as this much slower than an idle one.
FULL_TARGET_PENALTY = 0.5
# As many requests wait for a target's slots as it has slots.
FULL_BUSY_FACTOR = 2
MIN_RAMP = 0.1
MILLISECONDS_PER_SECOND = 1000


class OutcomeKind(enum.StrEnum):
    """How a request at a target ended, as far as routing is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class TargetLoad:
    """What a target's own proxy says with each answer.

    `busy` counts the requests that run or wait there, of all callers;
    `service_seconds` is the mean time that one takes a slot.
    """

    busy: int
    service_seconds: float


@attrs.define(kw_only=True)
class TargetState:
    """Observations of one target; kept by a proxy, lost at its restart.

    Times are monotonic seconds. `first_seen` is when the target became
    able to take requests, where its announcement tells. `reported_load` is
    the share of its slots that the target says are in use.
    """

    target_id: str
    service: str
    availability_zone: str
    host: str
    slots: int
    first_seen: float
    cold_start_ms: int = 0
    in_flight: int = 0
    latency_seconds: float = 0.0
    error_share: float = 0.0
    last_answered_at: float = float("-inf")
    last_error_at: float = float("-inf")
    reported_load: float = 0.0
    reported_healthy: bool = True
    reported_at: float = float("-inf")
    load: TargetLoad | None = None
    loaded_at: float = float("-inf")
    in_flight_at_load: int = 0
    draining: bool = False
    ejected_until: float = float("-inf")
    limit: AdaptiveLimit = attrs.field(
        default=attrs.Factory(
            lambda self: AdaptiveLimit(slots=self.slots), takes_self=True
        )
    )

    def record_start(self, now):
        """Count a request that is being sent to the target."""
        self.in_flight += 1

    def record_outcome(self, now, latency_seconds, outcome_kind):
        """Count the end of a request that `record_start` counted.

        `outcome_kind` is an OutcomeKind. A cancelled request tells nothing
        about the target; a refused one tells that it is full, not unhealthy.
        """
        match outcome_kind:
            case OutcomeKind.ANSWERED:
                self.limit.observe(latency_seconds, self.in_flight)
                self._observe_latency(latency_seconds)
                self._observe_error(0.0)
                self.last_answered_at = now
            case OutcomeKind.FAILED | OutcomeKind.UNKNOWN:
                self._observe_error(1.0)
                self.last_error_at = now
            case OutcomeKind.REFUSED:
                self.limit.record_refusal()
        self.in_flight = max(0, self.in_flight - 1)

    def record_report(self, now, load, healthy):
        """Note what the target says of itself; a hint that decays."""
        self.reported_load = max(0.0, load)
        self.reported_healthy = healthy
        self.reported_at = now

    def observe_load(self, now, load):
        """Take the load that came with an answer."""
        self.load = load
        self.loaded_at = now
        self.in_flight_at_load = self.in_flight

    def is_load_known(self, now):
        """Return whether a load is held that is not too old."""
        return (
            self.load is not None
            and now - self.loaded_at <= LOAD_MAX_AGE_SECONDS
        )

    def expected_seconds(self, now, *, assumed_seconds):
        """Return how long one more request would take here.

        A target whose load is not known is taken for as fast as
        `assumed_seconds`, but for each own request that it has not
        answered yet.
        """
        if not self.is_load_known(now):
            expected = assumed_seconds * (1 + self.in_flight)
        else:
            since = self.in_flight - self.in_flight_at_load
            busy = max(self.in_flight, self.load.busy + since, 0)
            taken = min(1.0, busy / self.slots)
            waiting = max(0, busy + 1 - self.slots) / self.slots
            expected = self.load.service_seconds * (
                1 + FULL_TARGET_PENALTY * taken**2 + waiting
            )
        ramp = self.ramp(now)
        return expected * (1 + ERROR_PENALTY * self.error_share) / ramp

    def looks_unhealthy(self, now):
        """Return whether the target should be skipped while others do.

        An own success after the report outranks a report of bad health; own
        errors outrank a report of good health.
        """
        if now < self.ejected_until:
            return True
        if self.error_share >= UNHEALTHY_ERROR_SHARE:
            return now - self.last_error_at < OWN_VIEW_SECONDS
        return (
            not self.reported_healthy
            and now - self.reported_at < HINT_MAX_AGE_SECONDS
            and self.last_answered_at < self.reported_at
        )

    def pressure(self, now):
        """Return the load relative to the limit with one more request.

        Values over 1 mean that the limit is reached. A report can only add
        to it, so that a target that claims to be idle attracts nothing.
        """
        own = (self.in_flight + 1) / (self.limit.value * self.ramp(now))
        hint = self.reported_load * self._hint_weight(now)
        return own * (1.0 + ERROR_PENALTY * self.error_share) + hint

    def is_known_full(self, now):
        """Return whether its proxy has just refused for want of room.

        That holds for half the time in which a slot gets free again.
        """
        return (
            self.load is not None
            and self.load.busy >= FULL_BUSY_FACTOR * self.slots
            and now - self.loaded_at < self.load.service_seconds / 2
        )

    def has_capacity(self, now, *, ramped=True):
        """Return whether one more request is within the limit.

        The share allowed by the slow start counts if `ramped`.
        """
        if self.is_known_full(now):
            return False
        share = self.ramp(now) if ramped else 1.0
        return self.in_flight + 1 <= max(1.0, self.limit.value * share)

    def ramp(self, now):
        """Return the share of the limit allowed by the slow start."""
        age_ms = (now - self.first_seen) * MILLISECONDS_PER_SECOND
        if self.cold_start_ms <= 0 or age_ms >= self.cold_start_ms:
            return 1.0
        return max(MIN_RAMP, age_ms / self.cold_start_ms)

    def _hint_weight(self, now):
        age = now - self.reported_at
        if age > HINT_MAX_AGE_SECONDS:
            return 0.0
        seen = now - self.last_answered_at < OWN_VIEW_SECONDS
        weight = HINT_WEIGHT_BESIDE_OWN_VIEW if seen else HINT_WEIGHT
        return weight * 0.5 ** (max(0.0, age) / HINT_HALF_LIFE_SECONDS)

    def _observe_latency(self, latency_seconds):
        if self.latency_seconds == 0.0:
            self.latency_seconds = latency_seconds
        self.latency_seconds += EWMA_WEIGHT * (
            latency_seconds - self.latency_seconds
        )

    def _observe_error(self, value):
        self.error_share += ERROR_WEIGHT * (value - self.error_share)
