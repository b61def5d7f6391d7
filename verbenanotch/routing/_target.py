"""A proxy's observations of one target.

The outcomes of the proxy's own requests count more than what the target
reports about itself.
"""

import enum

import attrs

from verbenanotch.routing._limit import AdaptiveLimit

LATENCY_EWMA_WEIGHT = 0.2
ERROR_EWMA_WEIGHT = 0.2
UNHEALTHY_ERROR_SHARE = 0.5
REPORT_HALF_LIFE_SECONDS = 2.0
REPORT_MAX_AGE_SECONDS = 10.0
OWN_SAMPLE_MAX_AGE_SECONDS = 5.0
# Weight of a new report in the pressure, without and with a recent answer to
# this proxy.
REPORT_WEIGHT = 0.5
REPORT_WEIGHT_WITH_OWN_SAMPLES = 0.1
# The pressure and the expected time of a target are multiplied by 1 plus this
# times its error share.
ERROR_PENALTY = 4.0
# An older load gives no information about the target's current state. The
# target then counts as one without a load, so that one or two requests try it.
LOAD_MAX_AGE_SECONDS = 1.5
# Loads of a target may arrive in another order than they were sent, within
# this time. After that, an earlier time of a report means that its host was
# restarted.
MAX_REORDERING_SECONDS = 5.0
# A target with all slots in use has no capacity for the next burst: it counts
# as slower than an idle one by this share.
FULL_TARGET_PENALTY = 0.5
# Busy requests per slot at which the target's queue is full: as many requests
# wait as there are slots.
FULL_BUSY_FACTOR = 2
MIN_SLOW_START_SHARE = 0.1
MILLISECONDS_PER_SECOND = 1000


class OutcomeKind(enum.StrEnum):
    """How a request at a target ended, as routing distinguishes it.

    ANSWERED: the target answered without a server error. FAILED: it answered
    with a server error, could not be reached or refused the request itself.
    REFUSED: the request was not run for another reason, such as a full
    queue. UNKNOWN: the request may have run, but there is no answer.
    CANCELLED: this proxy cancelled the request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class TargetLoad:
    """The load that a target's own proxy reports with each reply.

    `busy` is the number of requests of all callers that run or wait there.
    `service_seconds` is the mean time for which a request occupies a slot.
    `limit` is the requests per second that the target takes from the whole
    mesh, and `share` the part of it that the receiving proxy may send; both
    are 0 if it names no limit. `is_leaving` tells that the target has said
    that it is about to exit.

    The rest is 0 for a target that tells no pace. `pace_percent` is how long
    work takes there now, 100 as usual, and `usual_seconds` the mean service
    time at the usual pace. `reported_ms` is the monotonic time of the report
    on the target's host.
    """

    busy: int
    service_seconds: float
    limit: float = 0.0
    share: float = 0.0
    is_leaving: bool = False
    pace_percent: int = 0
    usual_seconds: float = 0.0
    reported_ms: int = 0


@attrs.define(kw_only=True)
class TargetState:
    """Observations of one target; a proxy loses them when it restarts.

    Times are monotonic seconds. `slow_start_at` is when the slow start
    begins: when the proxy first sees the target's incarnation, or when an
    ejection ends. It is -inf, for no slow start, for the targets that a
    starting proxy receives first. `error_share` is the moving average of
    errors among recent requests.

    There are two kinds of load: `reported_load` is the share of its slots in
    use according to the target's own reports, and `load` is the last
    TargetLoad, received when `in_flight_at_load` requests of this proxy were
    in flight.
    """

    target_id: str
    service: str
    availability_zone: str
    host: str
    slots: int
    slow_start_at: float
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
    load_received_at: float = float("-inf")
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

        `outcome_kind` is an OutcomeKind. A cancelled request gives no
        information about the target; a refused request means that the
        target is full, not that it is unhealthy.
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

    def record_report(self, now, load_share, healthy):
        """Record the target's own report, whose weight decays over time.

        `load_share` is the share of its slots in use.
        """
        self.reported_load = max(0.0, load_share)
        self.reported_healthy = healthy
        self.reported_at = now

    def observe_load(self, now, load):
        """Record the TargetLoad that came with a reply.

        A long answer may arrive after a short one that was sent later.
        """
        if self._is_outdated(now, load):
            return
        self.load = load
        self.load_received_at = now
        self.in_flight_at_load = self.in_flight

    def _is_outdated(self, now, load):
        return (
            self.load is not None
            and 0 < load.reported_ms < self.load.reported_ms
            and now - self.load_received_at < MAX_REORDERING_SECONDS
        )

    def is_load_known(self, now):
        """Return whether a load was received and is not too old."""
        return (
            self.load is not None
            and now - self.load_received_at <= LOAD_MAX_AGE_SECONDS
        )

    def expected_seconds(self, now, *, assumed_seconds):
        """Return the expected seconds of one more request at the target.

        A target whose load is not known is assumed to take
        `assumed_seconds`, multiplied by one more than the number of this
        proxy's requests in flight to it. Errors and the slow start raise the
        result.
        """
        if not self.is_load_known(now):
            expected = assumed_seconds * (1 + self.in_flight)
        else:
            sent_since_load = self.in_flight - self.in_flight_at_load
            busy = max(self.in_flight, self.load.busy + sent_since_load, 0)
            busy_share = min(1.0, busy / self.slots)
            wait_factor = max(0, busy + 1 - self.slots) / self.slots
            expected = self.load.service_seconds * (
                1 + FULL_TARGET_PENALTY * busy_share**2 + wait_factor
            )
        return expected * self.reluctance(now)

    def reluctance(self, now):
        """Return by what errors and the slow start multiply its times."""
        return (1 + ERROR_PENALTY * self.error_share) / self.slow_start_share(
            now
        )

    def looks_unhealthy(self, now):
        """Return whether the target is skipped while others have capacity.

        A success of this proxy after the report overrides a report of bad
        health; errors seen by this proxy override a report of good health.
        """
        if now < self.ejected_until:
            return True
        if self.error_share >= UNHEALTHY_ERROR_SHARE:
            return now - self.last_error_at < OWN_SAMPLE_MAX_AGE_SECONDS
        return (
            not self.reported_healthy
            and now - self.reported_at < REPORT_MAX_AGE_SECONDS
            and self.last_answered_at < self.reported_at
        )

    def pressure(self, now):
        """Return the load with one more request, relative to the limit.

        Values over 1 mean that the limit is reached. A target's report can
        only add to the result, so that a target that reports itself as idle
        does not attract requests by that.
        """
        own_pressure = (self.in_flight + 1) / (
            self.limit.value * self.slow_start_share(now)
        )
        reported_pressure = self.reported_load * self._report_weight(now)
        return (
            own_pressure * (1.0 + ERROR_PENALTY * self.error_share)
            + reported_pressure
        )

    def is_known_full(self, now):
        """Return whether the target's queue was full a short time ago.

        While it is full, the target's proxy refuses requests. The last load
        is used for this for half of the mean service time; after that a slot
        may be free again.
        """
        return (
            self.load is not None
            and self.load.busy >= FULL_BUSY_FACTOR * self.slots
            and now - self.load_received_at < self.load.service_seconds / 2
        )

    def has_capacity(self, now, *, with_slow_start=True):
        """Return whether one more request is within the limit.

        `with_slow_start` reduces the limit to the share that the slow start
        allows.
        """
        if self.is_known_full(now):
            return False
        share = self.slow_start_share(now) if with_slow_start else 1.0
        return self.in_flight + 1 <= max(1.0, self.limit.value * share)

    def slow_start_share(self, now):
        """Return the share of the limit that the slow start allows."""
        age_ms = (now - self.slow_start_at) * MILLISECONDS_PER_SECOND
        if self.cold_start_ms <= 0 or age_ms >= self.cold_start_ms:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age_ms / self.cold_start_ms)

    def _report_weight(self, now):
        age = now - self.reported_at
        if age > REPORT_MAX_AGE_SECONDS:
            return 0.0
        has_own_samples = (
            now - self.last_answered_at < OWN_SAMPLE_MAX_AGE_SECONDS
        )
        weight = (
            REPORT_WEIGHT_WITH_OWN_SAMPLES
            if has_own_samples
            else REPORT_WEIGHT
        )
        return weight * 0.5 ** (max(0.0, age) / REPORT_HALF_LIFE_SECONDS)

    def _observe_latency(self, latency_seconds):
        if self.latency_seconds == 0.0:
            self.latency_seconds = latency_seconds
        self.latency_seconds += LATENCY_EWMA_WEIGHT * (
            latency_seconds - self.latency_seconds
        )

    def _observe_error(self, value):
        self.error_share += ERROR_EWMA_WEIGHT * (value - self.error_share)
