"""Decision of a proxy whether an account's request may run."""

import dataclasses
import math

from verbenanotch.quotas._messages import (
    PPM,
    AccountUsage,
    LimitUpdate,
    UsageReport,
)
from verbenanotch.quotas._window import WINDOW_SECONDS, SlidingCount

# A decision of the leader holds for this long.
LEASE_SECONDS = 0.4
# For this long without a leader, proxies admit at least one request of an
# account in a window: as many of them as its limit has requests, and a number
# that does not grow with the limit, as the users' slack does not.
ALLOWANCE_SECONDS = 3.0
ALLOWED_REQUESTS = 8
# With usage in the last window, a report is sent this often even if nothing
# has changed, so that the leader can tell a lost proxy from an idle one.
KEEPALIVE_SECONDS = 1.0
# Proxies with less than an equal part of a limit move this far towards it. All
# of the way, the sum would exceed the limit by those that have more.
EQUAL_PART_WEIGHT = 0.75
# A proxy lets the leader exceed the rate for this long: the fraction varies
# around the rate, and a proxy with all of the requests would cut its peaks.
LEADER_MARGIN_SECONDS = 0.5
MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 10_000
# Retry-After varies by this fraction, so that refused callers spread out.
RETRY_AFTER_JITTER = 0.2
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limited:
    """A request beyond the limit of its account.

    `cause` is `rate` for the account's own rate, `fraction` for the fraction
    that the leader decided, or `share` for the share of a proxy that has not
    heard from the leader. `admitted_ppm` is that fraction, and `age_ms` the
    time since the leader was heard, -1 if it never was.
    """

    retry_after_ms: int
    cause: str = "rate"
    admitted_ppm: int = PPM
    age_ms: int = -1


class _Usage:
    """Requests of one account at one proxy."""

    def __init__(self, *, limit, random, now):
        self.asked = 0
        self.admitted = 0
        self.recent = SlidingCount()
        self.reported = (0, 0)
        # Deterministic rounding of the admitted fraction. The random start
        # keeps proxies from admitting at the same time.
        self.credit = random.random()
        self._level = max(1.0, limit.burst)
        self._refilled_at = now
        self.share = None

    def refill(self, limit, now):
        """Return the level of a bucket with the account's whole limit."""
        self._level = min(
            max(1.0, limit.burst),
            self._level + limit.rate * (now - self._refilled_at),
        )
        self._refilled_at = now
        return self._level

    def count(self, now):
        """Count an admitted request."""
        self.admitted += 1
        self.recent.add(now)
        self._level -= 1

    def take_back(self, admitted_at):
        """Take back a request, unless it was admitted before the window."""
        if self.recent.take_back(admitted_at):
            self.admitted -= 1
            self._level += 1
            self.credit = min(1.0, self.credit + 1)


class _SilentShare:
    """What a proxy may admit of an account without hearing the leader.

    It repeats the window that it had when the lease ended. The sum of these
    over all proxies kept to the limit, so their repetition does, too. A
    proxy with little usage has most of an equal part instead, rounded at
    random: otherwise no proxy could use a part below one request.
    """

    def __init__(self, *, repeated, limit, random, now):
        self._repeated = repeated
        self._rate = limit.rate
        self._random = random
        self._drawn_at = now
        self._rounding = random.random()

    def requests(self, limit, host_count, now, *, has_allowance):
        """Return how many requests may run in a window."""
        if now - self._drawn_at > WINDOW_SECONDS:
            self._drawn_at = now
            self._rounding = self._random.random()
        whole = limit.rate * WINDOW_SECONDS + limit.burst
        equal_part = whole / host_count
        # A limit that was lowered meanwhile lowers this part, too.
        repeated = self._repeated * min(1.0, limit.rate / self._rate)
        part = repeated + EQUAL_PART_WEIGHT * (equal_part - repeated)
        requests = math.floor(max(repeated, part + self._rounding))
        allowed_part = (whole + ALLOWED_REQUESTS) / host_count
        if has_allowance and allowed_part + self._rounding >= 1:
            return max(1, requests)
        return requests


class AccountLimits:
    """Admit requests of client accounts with a rate.

    Answers one account that sends many times its usual, through any proxies:
    the leader of the log sees all of the account's requests and decides the
    fraction that every proxy admits. No proxy admits more than the whole
    limit, so a caller of a single proxy is limited without a delay.
    """

    def __init__(self, *, limits, host_count, incarnation, random):
        """Start without a lease.

        `limits()` returns the ClientAccount by name, `host_count()` the
        number of hosts that this proxy knows; the leader may know more.
        """
        self._limits = limits
        self._host_count = host_count
        self._incarnation = incarnation
        self._random = random
        self._usages_by_account = {}
        self._limited_by_account = {}
        self._surging = frozenset()
        self._leader_host_count = 1
        self._table = None
        self._received_at = -math.inf
        self._report_number = 0
        self._reported_at = -math.inf

    def admit(self, account, now):
        """Count a request; return None, or Limited if it must not run."""
        limit = self._limits().get(account)
        if limit is None or limit.rate <= 0:
            return None
        usage = self._usages_by_account.get(account)
        if usage is None:
            usage = _Usage(limit=limit, random=self._random, now=now)
            self._usages_by_account[account] = usage
        usage.asked += 1
        refusal = self._refusal(account, limit, usage, now)
        if refusal is None:
            usage.count(now)
        return refusal

    def refund(self, account, admitted_at):
        """Take back a request that did not run after all.

        `admitted_at` is the time that `admit` had.
        """
        usage = self._usages_by_account.get(account)
        if usage is not None:
            usage.take_back(admitted_at)

    def receive(self, message, now):
        """Apply a LimitUpdate or LimitHeartbeat of the leader.

        A heartbeat renews the lease only of the table that it names.
        """
        table = (message.term, message.number)
        if isinstance(message, LimitUpdate):
            if self._table is not None and table < self._table:
                return
            self._table = table
            self._leader_host_count = message.host_count
            self._limited_by_account = {
                limited.name: limited for limited in message.limited
            }
            self._surging = frozenset(message.surging)
        elif table != self._table:
            return
        self._received_at = now

    def has_lease(self, now):
        """Return whether the leader's last decision still holds."""
        return self.silent_seconds(now) <= LEASE_SECONDS

    def silent_seconds(self, now):
        """Return the time since the leader was heard."""
        return now - self._received_at

    def report(self, now, *, requested=False):
        """Return the UsageReport to send now, or None.

        If `requested` by a new leader, it has all accounts with recent
        usage, otherwise those that have changed.
        """
        self._forget_removed()
        usages = [
            self._usage_report(account, usage, now)
            for account, usage in self._usages_by_account.items()
            if usage.reported != (usage.asked, usage.admitted)
            or (requested and usage.recent.total(now))
        ]
        if not (usages or requested or self._needs_keepalive(now)):
            return None
        self._report_number += 1
        self._reported_at = now
        return UsageReport(
            incarnation=self._incarnation,
            number=self._report_number,
            accounts=tuple(usages),
        )

    @property
    def is_unused(self):
        """Whether no request of an account with a rate was received."""
        return not self._usages_by_account

    def _usage_report(self, account, usage, now):
        usage.reported = (usage.asked, usage.admitted)
        return AccountUsage(
            name=account,
            asked=usage.asked,
            admitted=usage.admitted,
            recent=usage.recent.totals(now),
        )

    def _needs_keepalive(self, now):
        return now - self._reported_at >= KEEPALIVE_SECONDS and any(
            usage.recent.total(now)
            for usage in self._usages_by_account.values()
        )

    def _forget_removed(self):
        """Forget accounts that the configuration no longer limits."""
        if self.is_unused:
            return
        limits = self._limits()
        for account in tuple(self._usages_by_account):
            limit = limits.get(account)
            if limit is None or limit.rate <= 0:
                del self._usages_by_account[account]

    def _refusal(self, account, limit, usage, now):
        has_lease = self.has_lease(now)
        level = usage.refill(limit, now)
        if has_lease and account in self._limited_by_account:
            level += limit.rate * LEADER_MARGIN_SECONDS
        if level < 1:
            return self._limited((1 - level) / limit.rate, "rate", now)
        if has_lease:
            usage.share = None
            return self._fraction_refusal(account, usage, now)
        return self._share_refusal(account, limit, usage, now)

    def _fraction_refusal(self, account, usage, now):
        limited = self._limited_by_account.get(account)
        if limited is None:
            return None
        usage.credit += limited.admitted_ppm / PPM
        if usage.credit >= 1:
            usage.credit -= 1
            return None
        return self._limited(
            _seconds_to_admission(limited),
            "fraction",
            now,
            admitted_ppm=limited.admitted_ppm,
        )

    def _share_refusal(self, account, limit, usage, now):
        recent = usage.recent.total(now)
        if usage.share is None:
            usage.share = _SilentShare(
                repeated=recent, limit=limit, random=self._random, now=now
            )
        host_count = max(self._host_count(), self._leader_host_count)
        requests = usage.share.requests(
            limit,
            host_count,
            now,
            has_allowance=self._has_allowance(account, now),
        )
        if recent < requests:
            return None
        return self._limited(
            usage.recent.seconds_until_below(requests, now), "share", now
        )

    def _has_allowance(self, account, now):
        """Return whether to admit at least one request in a window.

        An account that may surge has used the allowance by the time that its
        proxies notice the silence.
        """
        if account in self._limited_by_account or account in self._surging:
            return False
        return self.silent_seconds(now) < LEASE_SECONDS + ALLOWANCE_SECONDS

    def _limited(self, seconds, cause, now, *, admitted_ppm=PPM):
        jitter = 1 + RETRY_AFTER_JITTER * (2 * self._random.random() - 1)
        milliseconds = seconds * jitter * MILLISECONDS_PER_SECOND
        age = self.silent_seconds(now)
        return Limited(
            retry_after_ms=math.ceil(
                min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, milliseconds))
            ),
            cause=cause,
            admitted_ppm=admitted_ppm,
            age_ms=-1
            if math.isinf(age)
            else round(age * MILLISECONDS_PER_SECOND),
        )


def _seconds_to_admission(limited):
    """Return the time after which a refused request is likely admitted.

    That is when the debt is repaid, and the account's rate has served what it
    refuses in a second, which the refused callers bring back.
    """
    debt_seconds = limited.debt_ms / MILLISECONDS_PER_SECOND
    if limited.admitted_ppm == 0:
        return debt_seconds
    return debt_seconds + (PPM - limited.admitted_ppm) / limited.admitted_ppm
