"""The leader's part in limits of client accounts."""

import time
import traceback

import eventlet

from verbenanotch.quotas import events
from verbenanotch.quotas._ledger import LimitLedger
from verbenanotch.quotas._messages import (
    PPM,
    LimitHeartbeat,
    UsageReport,
    UsageRequest,
)
from verbenanotch.telemetry import LinePace, emit, metrics

# Interval between checks for proxies that have just connected.
GREETING_INTERVAL_SECONDS = 0.05
GREETINGS_PER_DECISION = 4


class LeaderLimits:
    """Decide limits while this host leads and an account has a rate."""

    def __init__(
        self, *, channel, accounts, known_hosts, monotonic=time.monotonic
    ):
        """Use a ProxyChannel.

        `accounts()` returns the ClientAccount by name of the newest accepted
        mesh, `known_hosts()` the names of the hosts with a proxy.
        """
        self._channel = channel
        self._accounts = accounts
        self._known_hosts = known_hosts
        self._monotonic = monotonic
        self._term = None
        self._ledger = None
        self._next_number = 0
        self._connected = frozenset()
        self._is_listening = True
        self._logged = set()
        self._pace = LinePace()
        self._greenthread = None
        channel.on(UsageReport, self._observe)

    def start(self):
        """Start to decide."""
        self._greenthread = eventlet.spawn(self._run)

    def stop(self):
        """Stop deciding; the proxies' leases end."""
        if self._greenthread is not None:
            self._greenthread.kill()

    def decide(self):
        """Decide once and tell the proxies; do nothing without a rate."""
        term = self._channel.term
        limits_by_account = {} if term is None else self._limits()
        if not limits_by_account:
            self._ledger = None
            self._logged.clear()
            return
        now = self._monotonic()
        if term != self._term or self._ledger is None:
            self._start(term, now)
        message = self._ledger.decide(
            limits_by_account,
            self._known_hosts(),
            frozenset(self._channel.hosts),
            now,
        )
        self._next_number = self._ledger.number + 1
        self._channel.broadcast(message)
        self._is_listening = isinstance(message, UsageRequest)
        if isinstance(message, LimitHeartbeat):
            self.greet()
        else:
            self._connected = frozenset(self._channel.hosts)
        self._log(now)

    def greet(self):
        """Send the table to proxies that have connected since the last one.

        A proxy that was restarted refuses most requests until it has it.
        """
        if self._ledger is None or self._is_listening:
            return
        connected = frozenset(self._channel.hosts)
        added = connected - self._connected
        if not added:
            return
        self._channel.send(added, self._ledger.table())
        self._connected = connected

    def _start(self, term, now):
        """Start without usage, after the tables that the term has had."""
        if term != self._term:
            self._next_number = 0
        self._term = term
        self._ledger = LimitLedger(
            term=term, now=now, number=self._next_number
        )

    def _limits(self):
        return {
            name: account
            for name, account in self._accounts().items()
            if account.rate > 0
        }

    def _run(self):
        while True:
            try:
                for _ in range(GREETINGS_PER_DECISION):
                    eventlet.sleep(GREETING_INTERVAL_SECONDS)
                    self.greet()
                self.decide()
            except Exception:
                emit(events.DECISION_FAILED, traceback=traceback.format_exc())

    def _observe(self, host, report):
        if self._ledger is not None:
            self._ledger.observe(host, report, self._monotonic())

    def _log(self, now):
        """Log accounts that became limited or are no longer."""
        limited = {item.name: item for item in self._ledger.limited}
        metrics.gauge("quotas.limited_accounts", len(limited))
        for name, item in limited.items():
            if name not in self._logged and self._pace.admit(name, now):
                self._logged.add(name)
                emit(
                    events.ACCOUNT_LIMITED,
                    account=name,
                    fraction=item.admitted_ppm / PPM,
                    debt_ms=item.debt_ms,
                )
        for name in tuple(self._logged):
            if name not in limited and self._pace.admit(name, now):
                self._logged.discard(name)
                emit(events.ACCOUNT_UNLIMITED, account=name)
