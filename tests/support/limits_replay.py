"""Requests of client accounts at many proxies, in simulated time."""

import collections
import heapq
import itertools
import random

from verbenanotch.catalog import ClientAccount
from verbenanotch.quotas import (
    AccountLimits,
    LimitHeartbeat,
    LimitLedger,
    UsageRequest,
)

PROXIES = 76
ZONES = 3
REPORT_SECONDS = 0.25
DECISION_SECONDS = 0.2
ELECTION_SECONDS = 1.2
# The leader notices after this time that a connection was cut.
CONNECTION_TIMEOUT_SECONDS = 3.0
WINDOW_SECONDS = 5.0
# Largest and smallest usual demand of an account, in requests a second.
LARGEST, SMALLEST = 186.0, 1.4
HEADROOM = 1.6


def usual_demand_by_account(count=79):
    """Return sizes of accounts that fall like those of Zipf's law."""
    return {
        f"account-{rank}": max(SMALLEST, LARGEST / rank)
        for rank in range(1, count + 1)
    }


class LimitsReplay:
    """76 proxies and a leader as plain objects.

    `demand(account, now)` returns the requests a second, and
    `place(account, now, random)` the index of the proxy of one of them.
    """

    def __init__(self, seed, *, usual=None, demand=None, place=None, lost=0.0):
        """Start with a leader and with the limits above the usual demand."""
        self.random = random.Random(seed)
        self.usual = usual or usual_demand_by_account()
        self.limits = {
            name: ClientAccount(rate=size * HEADROOM, burst=size * HEADROOM)
            for name, size in self.usual.items()
        }
        self.demand = demand or (lambda account, _: self.usual[account])
        self.place = place or (lambda *_: self.random.randrange(PROXIES))
        self.lost = lost
        self.now = 0.0
        self.term = 0
        self.ledger = None
        self.cut_off = set()
        self.paused = set()
        self._contact_at = [0.0] * PROXIES
        self.admitted = collections.defaultdict(list)
        self.asked = collections.defaultdict(list)
        self.refusals = collections.defaultdict(list)
        self._table_hosts = set()
        self._queue = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self.proxies = [None] * PROXIES
        for index in range(PROXIES):
            self.restart(index)
            self._at(
                self.random.uniform(0, REPORT_SECONDS), self._report, index
            )
        self.elect()
        self._at(0.0, self._decide)
        for name in self.usual:
            self._at(1.0, self._arrive, name, False)

    def at(self, time, action, *arguments):
        """Call an action of the test at a time."""
        self._at(time - self.now, action, *arguments)

    def run(self, until):
        """Play until a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def ask(self, account, index):
        """Send one request to a proxy; return its refusal, or None."""
        self.asked[account].append(self.now)
        limited = self.proxies[index].admit(account, self.now)
        if limited is None:
            self.admitted[account].append(self.now)
        else:
            self.refusals[account].append((self.now, limited))
        return limited

    def restart(self, index):
        """Start a proxy that knows nothing."""
        self.proxies[index] = AccountLimits(
            limits=lambda: self.limits,
            host_count=lambda: PROXIES,
            incarnation=next(self._incarnations),
            random=self.random,
        )
        self._table_hosts.discard(index)

    def lose_leader(self):
        """End the leader; a new one is elected after a while."""
        self.ledger = None
        self._at(ELECTION_SECONDS, self.elect)

    def elect(self):
        """Start a new term."""
        self.term += 1
        self.ledger = LimitLedger(term=self.term, now=self.now)
        self._table_hosts = set()

    def most_in_window(self, account):
        """Return the largest number that was admitted in a window."""
        times = self.admitted[account]
        first = most = 0
        for last, time in enumerate(times):
            while times[first] <= time - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def owed(self, account):
        """Return how many requests a single bucket would admit."""
        limit = self.limits[account]
        level, refilled_at, owed = limit.burst, 0.0, 0
        for time in self.asked[account]:
            level += limit.rate * (time - refilled_at)
            level, refilled_at = min(limit.burst, level), time
            if level >= 1:
                level -= 1
                owed += 1
        return owed

    def _at(self, delay, action, *arguments):
        entry = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def _arrive(self, account, counts=True):
        if counts:
            index = self.place(account, self.now, self.random)
            if self.proxies[index] is not None:
                self.ask(account, index)
        rate = self.demand(account, self.now)
        # Changes of the demand are noticed within 0.1 s.
        wait = self.random.expovariate(rate) if rate else 1.0
        if wait < 0.1:
            self._at(wait, self._arrive, account)
        else:
            self._at(0.1, self._arrive, account, False)

    def _connected(self):
        for index in set(range(PROXIES)) - self.cut_off:
            self._contact_at[index] = self.now
        return {
            index
            for index, proxy in enumerate(self.proxies)
            if proxy is not None
            and self.now - self._contact_at[index] < CONNECTION_TIMEOUT_SECONDS
        }

    def _report(self, index):
        self._at(REPORT_SECONDS, self._report, index)
        proxy = self.proxies[index]
        if proxy is not None and index not in self.paused:
            self._send_report(index, proxy.report(self.now))

    def _send_report(self, index, report):
        is_lost = self.random.random() < self.lost
        if report is not None and index not in self.cut_off and not is_lost:
            self._at(self._delay(), self._observe, index, report)

    def _observe(self, index, report):
        if self.ledger is not None and index not in self.cut_off:
            self.ledger.observe(index, report, self.now)

    def _decide(self):
        self._at(DECISION_SECONDS, self._decide)
        if self.ledger is None:
            return
        connected = self._connected()
        message = self.ledger.decide(
            self.limits, range(PROXIES), connected, self.now
        )
        for index in connected:
            sent = message
            if (
                isinstance(message, LimitHeartbeat)
                and index not in self._table_hosts
            ):
                sent = self.ledger.table()
            if self.random.random() >= self.lost:
                self._at(self._delay(), self._receive, index, sent)
        self._table_hosts = connected

    def _receive(self, index, message):
        proxy = self.proxies[index]
        if proxy is None or index in self.cut_off:
            return
        if index in self.paused:
            self._at(REPORT_SECONDS, self._receive, index, message)
        elif isinstance(message, UsageRequest):
            self._send_report(index, proxy.report(self.now, requested=True))
        else:
            proxy.receive(message, self.now)

    def _delay(self):
        return self.random.uniform(0.005, 0.060)
