"""Multiplexed streams of calls between proxies."""

import itertools

import eventlet
from eventlet import event

from verbenanotch.proxy._messages import Forward, outcome_of, reply_of
from verbenanotch.proxy._outcome import NotRun, Unknown
from verbenanotch.telemetry import metrics
from verbenanotch.wire import Purpose, WireError, dial


class PeerServer:
    """Run the calls that other proxies forward to this host."""

    def __init__(self, *, local_targets):
        """Run calls at `local_targets`."""
        self._local_targets = local_targets

    def handle(self, connection):
        """Serve one peer until its connection ends."""
        while True:
            match connection.receive():
                case Forward(stream_id=stream_id, call=call):
                    eventlet.spawn(self._run, connection, stream_id, call)

    def _run(self, connection, stream_id, call):
        outcome = self._local_targets.run(call)
        try:
            connection.send(reply_of(stream_id, outcome))
        except WireError:
            metrics.increment("proxy.reply_undeliverable")


class PeerPool:
    """Keep one connection to each peer proxy and forward calls on it."""

    def __init__(self, *, settings):
        """Dial peers as they are needed."""
        self._settings = settings
        self._peers_by_host = {}

    def forward(self, host_record, call):
        """Run a call at a target of another host; return its outcome."""
        try:
            peer = self._peer(host_record)
        except WireError as error:
            return NotRun(reason=f"peer-unreachable: {error.kind}")
        return peer.forward(call)

    def _peer(self, record):
        peer = self._peers_by_host.get(record.host)
        if peer is None or peer.closed or peer.record != record:
            host = self._settings.host
            connection = dial(
                address=record.address,
                port=record.peer_port,
                key=host.peer_key.encode(),
                name=host.name,
                purpose=Purpose.REQUEST,
            )
            peer = _Peer(connection=connection, record=record)
            self._peers_by_host[record.host] = peer
        return peer


class _Peer:
    """One connection to a peer with the calls that wait for replies."""

    def __init__(self, *, connection, record):
        self.record = record
        self._connection = connection
        self._stream_ids = itertools.count(1)
        self._waiting_by_stream_id = {}
        eventlet.spawn(self._receive_forever)

    @property
    def closed(self):
        return self._connection.closed

    def forward(self, call):
        stream_id = next(self._stream_ids)
        waiting = event.Event()
        self._waiting_by_stream_id[stream_id] = waiting
        try:
            self._connection.send(Forward(stream_id=stream_id, call=call))
            with eventlet.Timeout(call.remaining_ms / 1000, False):
                return waiting.wait()
            return Unknown(reason="deadline-passed")
        except WireError as error:
            return Unknown(reason=f"peer-lost: {error.kind}")
        finally:
            self._waiting_by_stream_id.pop(stream_id, None)

    def _receive_forever(self):
        try:
            while True:
                reply = self._connection.receive()
                self._deliver(reply)
        except WireError as error:
            waiting = self._waiting_by_stream_id
            self._waiting_by_stream_id = {}
            for result in waiting.values():
                result.send(Unknown(reason=f"peer-lost: {error.kind}"))

    def _deliver(self, reply):
        waiting = self._waiting_by_stream_id.pop(reply.stream_id, None)
        if waiting is None:
            metrics.increment("proxy.late_reply_dropped")
            return
        waiting.send(outcome_of(reply))
