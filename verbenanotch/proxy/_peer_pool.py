"""Connections to peer proxies, dialed when they are needed."""

import time

import eventlet
from eventlet import event

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.proxy._peer import Peer
from verbenanotch.telemetry import metrics
from verbenanotch.wire import Purpose, WireError, dial

CHECK_SECONDS = 0.25
DIAL_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.2


class PeerPool:
    """Keep one connection to each peer proxy and forward calls on it."""

    def __init__(self, *, settings, dial=dial):
        """Dial peers as they are needed.

        `on_report` can be replaced; it gets each peer's TargetReport.
        """
        self._settings = settings
        self._dial = dial
        self.on_report = lambda report: None
        self._peers_by_address = {}
        self._dialing_by_address = {}
        self._redial_at_by_address = {}
        self._checker = None

    def start(self):
        """Watch for silent peers in the background."""
        self._checker = eventlet.spawn(self._check_forever)

    def stop(self):
        """Close every connection."""
        if self._checker is not None:
            self._checker.kill()
        for peer in self._peers_by_address.values():
            peer.close()

    def forward(self, record, call, *, deadline, cancellation):
        """Run a call at a target of the host of `record`."""
        peer = self.connect(record, deadline=deadline)
        if peer is None:
            return NotRun(reason=reasons.PEER_UNREACHABLE)
        return peer.forward(call, deadline=deadline, cancellation=cancellation)

    def ask(self, service, member, message, timeout_seconds):
        """Return the reply of a record holder, or None if there is none."""
        deadline = time.monotonic() + timeout_seconds
        peer = self.connect(member, deadline=deadline)
        if peer is None:
            return None
        remaining = deadline - time.monotonic()
        return peer.ask(service, message, remaining)

    def post(self, record, message):
        """Send a message that has no reply, if the peer can be reached."""
        deadline = time.monotonic() + DIAL_TIMEOUT_SECONDS
        peer = self.connect(record, deadline=deadline)
        if peer is not None:
            peer.post(message)

    def connect(self, record, *, deadline):
        """Return a connected Peer, or None if there is none in time.

        Concurrent callers wait for one dial. After a failed one, none is
        tried for `REDIAL_SECONDS`, so that calls go elsewhere at once.
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
            eventlet.spawn_n(self._connect, address, dialing)
        return dialing.wait(timeout=max(0, deadline - time.monotonic()))

    def _connect(self, address, dialing):
        peer = None
        try:
            peer = self._dialed(address)
            self._peers_by_address[address] = peer
            self._redial_at_by_address.pop(address, None)
        except WireError as error:
            metrics.increment(f"proxy.dial_failed.{error.kind}")
            self._redial_at_by_address[address] = (
                time.monotonic() + REDIAL_SECONDS
            )
        finally:
            del self._dialing_by_address[address]
            dialing.send(peer)

    def _dialed(self, address):
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
            on_report=lambda report: self.on_report(report),
        )

    def _check_forever(self):
        while True:
            eventlet.sleep(CHECK_SECONDS)
            now = time.monotonic()
            for address, peer in list(self._peers_by_address.items()):
                if peer.closed:
                    del self._peers_by_address[address]
                    continue
                peer.check(now)
