"""Decision of the leader which fraction of an account's requests may run."""

import collections
import math

import attrs

from verbenanotch.quotas._messages import (
    PPM,
    LimitedAccount,
    LimitHeartbeat,
    LimitUpdate,
    UsageRequest,
)
from verbenanotch.quotas._window import RECENT_SECONDS, WINDOW_SECONDS

# A new leader listens for this long before it decides.
WARM_UP_SECONDS = 0.5
# A leader that has not decided for this long was paused, and listens again.
PAUSE_SECONDS = 0.8
# A table is sent again in this time, for proxies that missed it.
TABLE_INTERVAL_SECONDS = 1.0
# A proxy with usage that has not reported for this long is taken as lost.
LOST_SECONDS = 1.25
# Usage of a proxy that was not renewed for this long is forgotten.
FORGET_SECONDS = 30.0
# An account is limited so that its level lasts for this long.
HORIZON_SECONDS = 1.0
# Age of the reported usage when a decision takes effect.
DELAY_SECONDS = 0.35
# Demand is measured over the shortest of these times with enough requests.
DEMAND_SECONDS = (0.25, 0.5, 1.0, 2.0)
DEMAND_REQUESTS = 20
# The demand is at most and at least this many deviations above and below what
# a short time shows. A surge that is noticed late exceeds the limit; an
# account that is limited too early only keeps some of its burst.
DEVIATIONS_ABOVE = 2.0
DEVIATIONS_BELOW = 1.0
# A smaller change of a fraction is not sent.
MIN_CHANGE = 0.03
MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class _HostUsage:
    """Usage of an account at one host, as last reported."""

    incarnation: int
    asked: int
    admitted: int
    recent: tuple[int, ...]
    reported_at: float
    reserved: float = 0.0
    reserved_until: float = 0.0

    def rate(self, host_reported_at):
        """Return the rate in the window before the host's last report."""
        idle_seconds = host_reported_at - self.reported_at
        part = max(0.0, 1 - idle_seconds / WINDOW_SECONDS)
        return self.recent[0] * part / WINDOW_SECONDS


class _Ledger:
    """Requests of one account at all proxies."""

    def __init__(self):
        self.usages_by_host = {}
        self.demand = collections.deque()
        self.charged = 0.0
        self.early = [0] * len(RECENT_SECONDS)
        self.level = None
        self.fraction = 1.0
        # Whether few requests in a short time may be the start of a surge.
        self.may_surge = False

    def observe(self, host, incarnation, usage, now):
        """Charge what a host has admitted since its last report."""
        known = self.usages_by_host.get(host)
        if (
            known is None
            or known.incarnation != incarnation
            # The account had no rate meanwhile, and its counts were dropped.
            or usage.asked < known.asked
        ):
            # What it admitted before the window is of no effect any more.
            asked, admitted, reserved = 0, 0, 0.0
            self._observe_recent(usage.recent, now)
        else:
            asked = usage.asked - known.asked
            admitted = usage.admitted - known.admitted
            reserved = known.reserved
        self.charged += admitted - reserved
        self.demand.append((now, asked))
        self.usages_by_host[host] = _HostUsage(
            incarnation=incarnation,
            asked=usage.asked,
            admitted=usage.admitted,
            recent=usage.recent,
            reported_at=now,
            reserved_until=now,
        )

    def _observe_recent(self, recent, now):
        """Charge what a host had admitted when it was first heard.

        As demand it counts when it was asked for: all at once, it would look
        like a surge.
        """
        recent_by_seconds = dict(zip(RECENT_SECONDS, recent, strict=True))
        one_second = recent_by_seconds[1.0]
        two_seconds = recent_by_seconds[2.0]
        if self.level is None:
            for index, count in enumerate(recent):
                self.early[index] += count
        else:
            # Before that, the host had a reserve.
            self.charged += one_second
        self.demand.append((now - 1.5, max(0, two_seconds - one_second)))
        self.demand.append((now - 0.75, one_second / 2))
        self.demand.append((now, one_second / 2))

    def demand_rates(self, now):
        """Return the likely and the highest demand, in requests a second.

        The highest is what any time shows, though by few requests.
        """
        while self.demand and self.demand[0][0] < now - DEMAND_SECONDS[-1]:
            self.demand.popleft()
        peak, lowest, highest = 0.0, 0.0, math.inf
        for seconds in DEMAND_SECONDS:
            asked = sum(
                count
                for time, count in reversed(self.demand)
                if time >= now - seconds
            )
            peak = max(peak, asked / seconds)
            if asked >= DEMAND_REQUESTS:
                break
            # Few requests in a short time show that a surge has ended.
            most = asked + DEVIATIONS_ABOVE * math.sqrt(asked) + 1
            highest = min(highest, most / seconds)
            # Many show that one has begun.
            fewest = asked - DEVIATIONS_BELOW * math.sqrt(asked)
            lowest = max(lowest, fewest / seconds)
        return max(lowest, min(highest, asked / seconds)), peak

    def refill(self, limit, seconds, reserve, now):
        """Add the rate of some time, less a reserve and what was charged."""
        if self.level is None:
            self.level = _highest_level(limit, self.early)
            seconds = 0.0
        level = self.level + limit.rate * seconds - reserve - self.charged
        self.charged = 0.0
        if seconds > PAUSE_SECONDS:
            # The bucket may have been full in the pause, and used after it.
            level = min(level, _highest_level(limit, self._recent(now)))
        # Debt that is older than the window need not be repaid.
        lowest = -limit.rate * WINDOW_SECONDS
        self.level = min(limit.burst, max(lowest, level))

    def _recent(self, now):
        """Return what all hosts admitted in each of RECENT_SECONDS."""
        reported = [
            usage.recent
            for usage in self.usages_by_host.values()
            if now - usage.reported_at <= LOST_SECONDS
        ]
        return [sum(counts) for counts in zip(*reported, strict=True)]

    def decide(self, limit, reserve_rate, now):
        """Return the fraction to admit, so that the level lasts.

        It approaches rate / demand while the level falls, without a jump
        that would make the proxies admit in turns. Debt lowers it.
        """
        demand, peak = self.demand_rates(now)
        rate = limit.rate - reserve_rate
        unreported = (rate - demand * self.fraction) * DELAY_SECONDS
        target = rate + (self.level + unreported) / HORIZON_SECONDS
        is_limited = demand > max(0.0, target)
        self.may_surge = not is_limited and peak > target
        if not is_limited:
            return 1.0
        return max(0.0, target / demand)

    def forget(self, now):
        """Forget hosts without usage; return whether none remains."""
        self.usages_by_host = {
            host: usage
            for host, usage in self.usages_by_host.items()
            if now - usage.reported_at < FORGET_SECONDS
        }
        return not self.usages_by_host


class LimitLedger:
    """All usage in one term, and the limits that it calls for.

    Answers accounts of any size with demand that moves between proxies and
    zones: every proxy admits the same fraction, so that only the sum counts.
    Hosts that are cut off keep a part of the limit in reserve, since they go
    on to admit on their own.
    """

    def __init__(self, *, term, now, number=0):
        """Start to listen; nothing is known of earlier terms.

        `number` must be above those of the term's earlier tables: proxies
        ignore a table that is older than theirs.
        """
        self._term = term
        self._number = number
        self._ledgers_by_account = {}
        self._reported_at_by_host = {}
        self._reports_by_host = {}
        self._listens_until = now + WARM_UP_SECONDS
        self._decided_at = now
        self._refilled_at = now
        self._host_count = 0
        self._table = ()
        self._surging = ()
        self._table_sent_at = -math.inf
        self._forgot_at = now

    @property
    def number(self):
        """The number of the last table."""
        return self._number

    @property
    def limited(self):
        """The LimitedAccounts of the last decision."""
        return self._table

    def table(self):
        """Return the message with the table of the last decision."""
        return LimitUpdate(
            term=self._term,
            number=self._number,
            host_count=self._host_count,
            limited=self._table,
            surging=self._surging,
        )

    def observe(self, host, report, now):
        """Apply a UsageReport; older ones than the last are ignored."""
        incarnation, number = self._reports_by_host.get(host, (None, 0))
        if report.incarnation == incarnation and report.number <= number:
            return
        self._reports_by_host[host] = (report.incarnation, report.number)
        self._reported_at_by_host[host] = now
        for usage in report.accounts:
            ledger = self._ledgers_by_account.setdefault(usage.name, _Ledger())
            ledger.observe(host, report.incarnation, usage, now)

    def decide(self, limits_by_account, known_hosts, connected_hosts, now):
        """Return the message to broadcast now.

        `limits_by_account` has the ClientAccounts with a rate. The known
        hosts that are not connected are cut off.
        """
        if now - self._decided_at > PAUSE_SECONDS:
            self._listens_until = now + WARM_UP_SECONDS
        self._decided_at = now
        if now < self._listens_until:
            return UsageRequest()
        # An account without a rate has no debt once it has a rate again.
        for name in self._ledgers_by_account.keys() - limits_by_account:
            del self._ledgers_by_account[name]
        lost = self._lost_hosts(known_hosts, connected_hosts, now)
        self._host_count = max(len(known_hosts), len(connected_hosts))
        table = self._decide_accounts(limits_by_account, lost, now)
        self._refilled_at = now
        self._forget(known_hosts, now)
        surging = tuple(
            name
            for name, ledger in self._ledgers_by_account.items()
            if ledger.may_surge
        )
        return self._message(table, surging, now)

    def _lost_hosts(self, known_hosts, connected_hosts, now):
        lost = set(known_hosts).difference(connected_hosts)
        lost.update(
            host
            for host, reported_at in self._reported_at_by_host.items()
            if LOST_SECONDS < now - reported_at < FORGET_SECONDS
            and self._has_usage(host, reported_at)
        )
        return lost

    def _has_usage(self, host, reported_at):
        return any(
            host in ledger.usages_by_host
            and ledger.usages_by_host[host].rate(reported_at) > 0
            for ledger in self._ledgers_by_account.values()
        )

    def _decide_accounts(self, limits_by_account, lost, now):
        seconds = now - self._refilled_at
        table = []
        for name, ledger in self._ledgers_by_account.items():
            limit = limits_by_account[name]
            reserve, reserve_rate = self._reserve(
                ledger, lost, limit.rate / max(1, self._host_count), now
            )
            ledger.refill(limit, seconds, reserve, now)
            fraction = ledger.decide(limit, min(limit.rate, reserve_rate), now)
            ledger.fraction = fraction
            if fraction < 1:
                debt_seconds = max(0.0, -ledger.level) / limit.rate
                table.append(
                    LimitedAccount(
                        name=name,
                        admitted_ppm=int(fraction * PPM),
                        debt_ms=round(debt_seconds * MILLISECONDS_PER_SECOND),
                    )
                )
        return tuple(table)

    def _reserve(self, ledger, lost, equal_part, now):
        """Return the requests and the rate that lost hosts may have used.

        A lost host repeats its last window or uses an equal part.
        """
        reserve = reserve_rate = 0.0
        for host in lost:
            usage = ledger.usages_by_host.get(host)
            if usage is None:
                rate = equal_part
                reserve += rate * (now - self._refilled_at)
            else:
                reported_at = self._reported_at_by_host[host]
                rate = max(equal_part, usage.rate(reported_at))
                requests = rate * (now - usage.reserved_until)
                usage.reserved += requests
                usage.reserved_until = now
                reserve += requests
            reserve_rate += rate
        return reserve, reserve_rate

    def _forget(self, known_hosts, now):
        if now - self._forgot_at < FORGET_SECONDS:
            return
        self._forgot_at = now
        for name, ledger in tuple(self._ledgers_by_account.items()):
            if ledger.forget(now):
                del self._ledgers_by_account[name]
        known = set(known_hosts)
        for host, reported_at in tuple(self._reported_at_by_host.items()):
            if now - reported_at > FORGET_SECONDS and host not in known:
                del self._reported_at_by_host[host]
                del self._reports_by_host[host]

    def _message(self, table, surging, now):
        if _differs(table, self._table) or surging != self._surging:
            self._number += 1
            self._table = table
            self._surging = surging
            self._table_sent_at = -math.inf
        if self._table and now - self._table_sent_at < TABLE_INTERVAL_SECONDS:
            return LimitHeartbeat(term=self._term, number=self._number)
        self._table_sent_at = now
        return self.table()


def _highest_level(limit, recent):
    """Return the level of a bucket that was full before some usage.

    `recent` has the usage in each of RECENT_SECONDS, or is empty without any.
    """
    return min(
        (
            limit.burst + limit.rate * seconds - count
            for seconds, count in zip(RECENT_SECONDS, recent, strict=False)
        ),
        default=limit.burst,
    )


def _differs(table, other):
    """Return whether two tables differ by more than MIN_CHANGE."""
    if [item.name for item in table] != [item.name for item in other]:
        return True
    return any(
        abs(new.admitted_ppm - old.admitted_ppm)
        > MIN_CHANGE * max(old.admitted_ppm, new.admitted_ppm)
        for new, old in zip(table, other, strict=True)
    )
