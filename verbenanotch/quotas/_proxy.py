"""A proxy's part in limits of client accounts."""

import random
import time
import traceback

import eventlet

from verbenanotch.quotas import events
from verbenanotch.quotas._account_limits import AccountLimits
from verbenanotch.quotas._messages import (
    PPM,
    LimitHeartbeat,
    LimitUpdate,
    UsageRequest,
)
from verbenanotch.telemetry import LinePace, emit, metrics

REPORT_INTERVAL_SECONDS = 0.25
# Replies to a new leader are spread over this time.
REPLY_SPREAD_SECONDS = 0.1
INCARNATION_BITS = 32
# A shorter silence of the leader is not logged.
LOGGED_SILENCE_SECONDS = 1.0


class ProxyLimits:
    """AccountLimits with its messages, events and metrics."""

    def __init__(
        self,
        *,
        channel,
        snapshot_store,
        monotonic=time.monotonic,
    ):
        """Use a LeaderChannel and the accounts of the active snapshot."""
        self._channel = channel
        self._monotonic = monotonic
        self._random = random.Random()
        self._limits = AccountLimits(
            limits=lambda: snapshot_store.snapshot.accounts_by_name,
            host_count=lambda: len(snapshot_store.snapshot.hosts_by_name),
            incarnation=self._random.getrandbits(INCARNATION_BITS),
            random=self._random,
        )
        self._pace = LinePace()
        self._is_silent = False
        self._greenthread = None
        for message_class in (LimitUpdate, LimitHeartbeat):
            channel.on(message_class, self._receive)
        channel.on(UsageRequest, self._reply)

    def start(self):
        """Start to report."""
        self._greenthread = eventlet.spawn(self._run)

    def stop(self):
        """Stop reporting."""
        if self._greenthread is not None:
            self._greenthread.kill()

    def admit(self, account, now):
        """Return None, or Limited if the request must not run."""
        limited = self._limits.admit(account, now)
        if limited is None:
            return None
        metrics.increment(f"quotas.refused.{limited.cause}")
        if self._pace.admit(account, now):
            emit(
                events.REQUESTS_REFUSED,
                account=account,
                cause=limited.cause,
                fraction=limited.admitted_ppm / PPM,
                age_ms=limited.age_ms,
                retry_after_ms=limited.retry_after_ms,
            )
        return limited

    def refund(self, account, admitted_at):
        """Take back a request that did not run after all.

        `admitted_at` is the time that `admit` had.
        """
        self._limits.refund(account, admitted_at)

    def report(self):
        """Report changed usage to the leader, if there is any."""
        now = self._monotonic()
        report = self._limits.report(now)
        if report is not None:
            self._channel.send(report)
        self._log_lease(now)

    def _run(self):
        # A random start keeps proxies from reporting at the same time.
        eventlet.sleep(self._random.uniform(0, REPORT_INTERVAL_SECONDS))
        while True:
            eventlet.sleep(REPORT_INTERVAL_SECONDS)
            try:
                self.report()
            except Exception:
                emit(events.DECISION_FAILED, traceback=traceback.format_exc())

    def _receive(self, message):
        self._limits.receive(message, self._monotonic())

    def _reply(self, _):
        eventlet.spawn_after(
            self._random.uniform(0, REPLY_SPREAD_SECONDS), self._send_usage
        )

    def _send_usage(self):
        self._channel.send(
            self._limits.report(self._monotonic(), requested=True)
        )

    def _log_lease(self, now):
        if self._limits.is_unused:
            return
        if self._limits.has_lease(now):
            if self._is_silent:
                emit(events.LEADER_HEARD)
            self._is_silent = False
        elif (
            not self._is_silent
            and self._limits.silent_seconds(now) > LOGGED_SILENCE_SECONDS
        ):
            metrics.increment("quotas.leases_ended")
            emit(events.LEADER_SILENT)
            self._is_silent = True
