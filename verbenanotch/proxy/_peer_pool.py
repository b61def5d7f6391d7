"""Connections to peer proxies, dialed on demand."""

import time

import eventlet
from eventlet import event

from verbenanotch import loop
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._body_budget import BodyBudget
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.proxy._peer import Peer
from verbenanotch.telemetry import metrics
from verbenanotch.wire import Purpose, WireError, dial

LIVENESS_CHECK_SECONDS = 0.25
DIAL_TIMEOUT_SECONDS = 1.0
REDIAL_DELAY_SECONDS = 0.2


class PeerPool:
    """Keep one connection to each peer proxy and forward calls on it."""

    def __init__(self, *, settings, dial=dial, body_budget=None):
        """Start without connections.

        `body_budget` is the BodyBudget of this host.

        The attributes `on_report` and `on_crash_records` are called with what
        peers send, see Peer. They may be replaced.
        """
        self._settings = settings
        self._dial = dial
        self._body_budget = body_budget or BodyBudget(
            max_bytes=settings.proxy.max_receiving_bytes
        )
        self.on_report = lambda report: None
        self.on_crash_records = lambda records: None
        self._peers_by_address = {}
        self._dialing_by_address = {}
        self._redial_at_by_address = {}
        self._liveness_checker = None

    def start(self):
        """Start checking in the background whether peers respond."""
        self._liveness_checker = loop.spawn_lasting(self._check_forever)

    def stop(self):
        """Close every connection."""
        if self._liveness_checker is not None:
            self._liveness_checker.kill()
        for peer in self._peers_by_address.values():
            peer.close()

    def forward(self, record, call, *, deadline, cancellation):
        """Run a call at a target on the host of `record`, a HostRecord.

        Returns the outcome. `deadline` is in monotonic seconds.
        """
        peer = self.connect(record, deadline=deadline)
        if peer is None:
            return NotRun(reason=reasons.PEER_UNREACHABLE)
        return peer.forward(call, deadline=deadline, cancellation=cancellation)

    def ask(self, service, member, message, timeout_seconds):
        """Send a message to `member`, a RecordHolder; return the reply.

        Returns None if no reply arrives within `timeout_seconds`.
        """
        deadline = time.monotonic() + timeout_seconds
        peer = self.connect(member, deadline=deadline)
        if peer is None:
            return None
        remaining = deadline - time.monotonic()
        return peer.ask(service, message, remaining)

    def post(self, record, message):
        """Send a message that has no reply; drop it if the dial fails."""
        deadline = time.monotonic() + DIAL_TIMEOUT_SECONDS
        peer = self.connect(record, deadline=deadline)
        if peer is not None:
            peer.post(message)

    def connect(self, record, *, deadline):
        """Return a connected Peer, or None if `deadline` passes first.

        `record` is a HostRecord or RecordHolder. Concurrent calls share one
        dial. After a failed dial, None is returned for `REDIAL_DELAY_SECONDS`
        without another attempt, so that calls can be retried on other targets
        immediately. `deadline` is in monotonic seconds.
        """
        address = (record.address, record.peer_port)
        peer = self._peers_by_address.get(address)
        if peer is not None and not peer.closed:
            return peer
        dialing = self._dialing_by_address.get(address)
        if dialing is None:
            now = time.monotonic()
            if now < self._redial_at_by_address.get(address, 0):
                return None
            dialing = event.Event()
            self._dialing_by_address[address] = dialing
            eventlet.spawn_n(self._dial_and_notify, address, dialing)
        return dialing.wait(timeout=max(0, deadline - time.monotonic()))

    def _dial_and_notify(self, address, dialing):
        peer = None
        try:
            peer = self._dial_peer(address)
            self._peers_by_address[address] = peer
            self._redial_at_by_address.pop(address, None)
        except WireError as error:
            metrics.increment(f"proxy.dial_failed.{error.kind}")
            self._redial_at_by_address[address] = (
                time.monotonic() + REDIAL_DELAY_SECONDS
            )
        finally:
            del self._dialing_by_address[address]
            dialing.send(peer)

    def _dial_peer(self, address):
        host = self._settings.host
        connection = self._dial(
            address=address[0],
            port=address[1],
            key=host.peer_key.encode(),
            name=host.name,
            purpose=Purpose.REQUEST,
            timeout_seconds=DIAL_TIMEOUT_SECONDS,
        )
        return Peer(
            connection=connection,
            max_body_bytes=self._settings.proxy.max_body_bytes,
            body_budget=self._body_budget,
            on_report=lambda report: self.on_report(report),
            on_crash_records=lambda records: self.on_crash_records(records),
        )

    def _check_forever(self):
        while True:
            eventlet.sleep(LIVENESS_CHECK_SECONDS)
            now = time.monotonic()
            for address, peer in list(self._peers_by_address.items()):
                if peer.closed:
                    del self._peers_by_address[address]
                    continue
                peer.check_liveness(now)
