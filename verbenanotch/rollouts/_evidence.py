"""What the proxies report about the versions of one rollout, over time."""

import collections

import attrs

BUCKET_SECONDS = 0.1
# Over these last times the judge looks for a version that has turned bad.
WINDOW_SECONDS = (1.0, 3.0)
# New targets are slow for this long; failures count from the start.
COLD_SECONDS = 3.0
RATE_SECONDS = 3.0
# Reports of a shorter time say little of the rate, which is 0 until then.
MIN_RATE_SECONDS = 0.8
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Sample:
    """Counts of ended calls, as in an OutcomeCount."""

    calls: int = 0
    failures: int = 0
    late: int = 0
    milliseconds: int = 0

    @property
    def bad(self):
        """Return the number of calls that failed or were late."""
        return self.failures + self.late

    @property
    def answered(self):
        """Return the number of calls that were answered in the end."""
        return self.calls - self.failures

    @property
    def mean_ms(self):
        """Return the mean time of the answered calls, 0 without any."""
        return self.milliseconds / self.answered if self.answered > 0 else 0.0

    def plus(self, other):
        """Return the sum of two samples."""
        return Sample(
            calls=self.calls + other.calls,
            failures=self.failures + other.failures,
            late=self.late + other.late,
            milliseconds=self.milliseconds + other.milliseconds,
        )

    def minus(self, other):
        """Return the difference of two samples."""
        return Sample(
            calls=self.calls - other.calls,
            failures=self.failures - other.failures,
            late=self.late - other.late,
            milliseconds=self.milliseconds - other.milliseconds,
        )


NOTHING = Sample()


@attrs.frozen(kw_only=True)
class RouteEvidence:
    """Samples of the candidate and of the old versions on one route."""

    route: str
    candidate: Sample = NOTHING
    old: Sample = NOTHING


@attrs.frozen(kw_only=True)
class Evidence:
    """The samples of a rollout.

    `total` has those since the reports began, `recent` one tuple for each of
    the last WINDOW_SECONDS. `warm` has those since COLD_SECONDS after the
    first call to the candidate, `warm_seconds` is the time since then, below
    0 before. `calls_per_second` is the rate of all calls and
    `busy` the mean number of them in progress, over the last seconds.
    `report_age_seconds` is the time since the last report, None without one.
    """

    total: tuple[RouteEvidence, ...] = ()
    recent: tuple[tuple[RouteEvidence, ...], ...] = ()
    warm: tuple[RouteEvidence, ...] = ()
    warm_seconds: float = -1.0
    calls_per_second: float = 0.0
    busy: float = 0.0
    report_age_seconds: float | None = None

    @property
    def candidate(self):
        """Return the total Sample of the candidate."""
        return merge(item.candidate for item in self.total)

    @property
    def warm_candidate(self):
        """Return the Sample of the candidate's warm targets."""
        return merge(item.candidate for item in self.warm)

    @property
    def old(self):
        """Return the total Sample of the old versions."""
        return merge(item.old for item in self.total)


def merge(samples):
    """Return the sum of samples."""
    total = NOTHING
    for sample in samples:
        total = total.plus(sample)
    return total


class OutcomeHistory:
    """The reports of all proxies about one service.

    The counts are cumulative, so a lost report is made up for by the next
    one. The first report of a proxy may cover a long time: it is part of the
    totals alone.
    """

    def __init__(self, *, candidate):
        """Start without reports."""
        self._candidate = candidate
        self._first_received_at = None
        self._received_at = None
        self._incarnations_by_host = {}
        self._samples_by_host = {}
        self._totals_by_key = {}
        self._warm_by_key = {}
        self._warm_at = None
        self._buckets_by_number = collections.OrderedDict()

    def receive(self, host, message, *, now):
        """Add the VersionOutcomes of a proxy."""
        self._received_at = now
        if self._first_received_at is None:
            self._first_received_at = now
        known = self._incarnations_by_host.get(host)
        if known is not None and message.proxy_incarnation < known:
            return
        if known != message.proxy_incarnation:
            self._incarnations_by_host[host] = message.proxy_incarnation
            self._samples_by_host[host] = {}
        samples = self._samples_by_host[host]
        counts_by_key = [self._totals_by_key]
        if known is not None:
            counts_by_key.append(self._bucket(now))
            if self._warm_at is not None and now >= self._warm_at:
                counts_by_key.append(self._warm_by_key)
        for count in message.counts:
            self._add(samples, counts_by_key, count)
        if self._warm_at is None and any(
            is_candidate and sample.calls
            for (_, is_candidate), sample in self._totals_by_key.items()
        ):
            self._warm_at = now + COLD_SECONDS

    def evidence(self, *, now):
        """Return the Evidence at `now`."""
        self._drop_old_buckets(now)
        rate_window = self._window(now, RATE_SECONDS)
        seconds = 0.0
        if self._received_at is not None:
            seconds = min(RATE_SECONDS, now - self._first_received_at)
        recent = merge(rate_window.values())
        return Evidence(
            total=_by_route(self._totals_by_key),
            warm=_by_route(self._warm_by_key),
            warm_seconds=-1.0
            if self._warm_at is None
            else now - self._warm_at,
            recent=tuple(
                _by_route(self._window(now, seconds))
                for seconds in WINDOW_SECONDS
            ),
            calls_per_second=(
                recent.calls / seconds if seconds >= MIN_RATE_SECONDS else 0.0
            ),
            busy=recent.milliseconds
            / MILLISECONDS_PER_SECOND
            / max(seconds, MIN_RATE_SECONDS),
            report_age_seconds=(
                None if self._received_at is None else now - self._received_at
            ),
        )

    def _add(self, samples, counts_by_key, count):
        sample = Sample(
            calls=count.calls,
            failures=count.failures,
            late=count.late,
            milliseconds=count.milliseconds,
        )
        counted_as = (count.route, count.software_version)
        increase = sample.minus(samples.get(counted_as, NOTHING))
        if increase.calls < 0:
            # Messages of an old and a new connection overtook each other.
            return
        samples[counted_as] = sample
        key = (count.route, count.software_version == self._candidate)
        for counts in counts_by_key:
            counts[key] = counts.get(key, NOTHING).plus(increase)

    def _bucket(self, now):
        number = int(now / BUCKET_SECONDS)
        return self._buckets_by_number.setdefault(number, {})

    def _drop_old_buckets(self, now):
        oldest = int(
            (now - max(RATE_SECONDS, *WINDOW_SECONDS)) / BUCKET_SECONDS
        )
        while self._buckets_by_number:
            number = next(iter(self._buckets_by_number))
            if number >= oldest:
                return
            del self._buckets_by_number[number]

    def _window(self, now, seconds):
        oldest = int((now - seconds) / BUCKET_SECONDS)
        counts_by_key = {}
        for number, bucket in self._buckets_by_number.items():
            if number < oldest:
                continue
            for key, sample in bucket.items():
                counts_by_key[key] = counts_by_key.get(key, NOTHING).plus(
                    sample
                )
        return counts_by_key


def _by_route(samples_by_key):
    routes = sorted({route for route, _ in samples_by_key})
    return tuple(
        RouteEvidence(
            route=route,
            candidate=samples_by_key.get((route, True), NOTHING),
            old=samples_by_key.get((route, False), NOTHING),
        )
        for route in routes
    )
