"""A stream of messages over one TCP connection."""

import collections
import contextlib
import itertools
import math
import socket
import time
import zlib

import eventlet
import msgpack
from eventlet import event

from verbenanotch.wire._codec import decode, encode
from verbenanotch.wire._pending import all_pending
from verbenanotch.wire.exceptions import (
    ConnectionClosedError,
    FrameTooLargeError,
    MalformedFrameError,
    NoRoomError,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Of each frame until the peer is authenticated, and of its collections.
MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024
MAX_HANDSHAKE_ITEMS = 16
# A peer whose host lost its power, or that a partition cuts off, ends no
# connection. Without probes, what it had begun would be kept for good.
PROBE_AFTER_SECONDS = 5
PROBE_INTERVAL_SECONDS = 2
MAX_UNANSWERED_PROBES = 3
MAX_UNACKNOWLEDGED_MS = 10_000
MAX_PENDING_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
# Received in a row before other greenthreads run.
MAX_BURST_BYTES = 4 * 1024 * 1024
# Messages below this size hardly shrink; mesh configurations, which are
# larger, shrink to a fifth.
MIN_COMPRESSED_BYTES = 1024

_incarnations = itertools.count(1)


class Connection:
    """Send and receive messages; safe for many greenthreads of one hub.

    Only one greenthread may receive. Frames are short until the peer is
    authenticated, see `accept_messages`. `peer_name` and `purpose` are set by
    the handshake. `incarnation` is unique among the connections of this
    process. `pending_bytes` are queued. If `compresses` is set, messages of
    `MIN_COMPRESSED_BYTES` or more are sent compressed; compressed messages are
    always accepted. If `waits_for_others` is unset, sends wait for the own
    queue alone, whatever is queued at other connections.
    """

    def __init__(self, *, sock, max_frame_bytes=MAX_FRAME_BYTES):
        """Take ownership of a connected socket."""
        _set_options(sock)
        self._socket = sock
        self._max_frame_bytes = max_frame_bytes
        self._receive_size = MAX_HANDSHAKE_FRAME_BYTES
        # What follows a frame in the buffer may be as long as a receive.
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=2 * MAX_HANDSHAKE_FRAME_BYTES,
            max_array_len=MAX_HANDSHAKE_ITEMS,
            max_map_len=MAX_HANDSHAKE_ITEMS,
            use_list=True,
        )
        self._pending = collections.deque()
        self._flushing = False
        # Events of the senders that wait for capacity, in their order.
        self._waiting = collections.deque()
        self._socket_calls = 0
        self._burst_bytes = 0
        self.closed = False
        self.peer_name = ""
        self.purpose = ""
        self.compresses = False
        self.waits_for_others = True
        self.incarnation = next(_incarnations)
        self.pending_bytes = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def accept_messages(self):
        """Receive frames of up to `max_frame_bytes` from now on.

        Has to be called once the peer is authenticated.
        """
        received = self._unpacker.read_bytes(2 * MAX_HANDSHAKE_FRAME_BYTES)
        self._receive_size = RECEIVE_BYTES
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=self._max_frame_bytes, use_list=True
        )
        self._unpacker.feed(received)

    def send(self, message, *, deadline=math.inf):
        """Queue a message and write all queued messages.

        Blocks while more than `MAX_PENDING_BYTES` are queued for a slow peer,
        or too much for all peers. Raises ConnectionClosedError, or before
        anything is sent FrameTooLargeError, or NoRoomError if the message is
        not queued by the `deadline`, in monotonic seconds.
        """
        self._wait_for_capacity(deadline)
        data = self._frame(message)
        while not self._has_room(len(data)):
            # A frame that waits would be one more that is kept.
            del data
            _check_time(deadline)
            all_pending.wait(self)
            self._wait_for_capacity(deadline)
            data = self._frame(message)
        self._queue(data)
        if not self._flushing:
            self._flush()

    def send_at_once(self, message):
        """Send a message without blocking; return False if that can't be.

        The rest of a message that is sent in part follows in the background.
        """
        if self.closed or self._pending or self._flushing:
            return False
        try:
            data = self._frame(message)
            sent = self._socket.send_at_once(data)
        except (OSError, ValueError, FrameTooLargeError):
            return False
        self.sent_bytes += sent
        if 0 < sent < len(data):
            self._queue(data[sent:])
            eventlet.spawn_n(self._flush_in_background)
        return sent > 0

    def receive(self):
        """Return the next message; block until there is one.

        Raises ConnectionClosedError, FrameTooLargeError or
        MalformedFrameError; the connection is closed after any of them.
        """
        return self._decode(self.receive_plain())

    def _decode(self, value):
        try:
            if isinstance(value, bytes):
                value = _decompress_frame(value, self._max_frame_bytes)
            return decode(value)
        except MalformedFrameError:
            self.close()
            raise

    def receive_arrived(self):
        """Yield the messages that have arrived, without blocking.

        May be used while another greenthread waits in `receive`, which then
        returns the later ones. Raises the errors of `receive`; the end of the
        stream is left to it.
        """
        while not self.closed:
            data = None
            with contextlib.suppress(OSError, ValueError):
                data = self._socket.receive_arrived(RECEIVE_BYTES)
            if not data:
                return
            self._feed(data)
            yield from self._complete_messages()

    def _complete_messages(self):
        """Yield the messages that are complete in the buffer."""
        while True:
            try:
                value = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except Exception as error:
                raise self._malformed() from error
            yield self._decode(value)

    def receive_plain(self):
        """Return the unpacked value of the next frame; see `receive`."""
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                self._feed_unpacker()
            except Exception as error:
                raise self._malformed() from error

    def _malformed(self):
        """Close the connection; return the error."""
        self.close()
        return MalformedFrameError(
            "peer sent bytes that are not msgpack; "
            "check what connects to this port"
        )

    def send_plain(self, value):
        """Write one msgpack value that has no message number (handshake)."""
        self._write(msgpack.packb(value))

    def is_unread_for(self, seconds):
        """Return whether the peer has taken nothing of the queue so long."""
        return self._flushing and self._socket.is_blocked_for(seconds)

    def close(self):
        """Close the socket and wake every waiting greenthread."""
        if self.closed:
            return
        self.closed = True
        # The hub never wakes a greenthread that waits on a closed descriptor.
        # Shutting the socket down wakes all of them, and the last one to
        # return from its socket call closes the descriptor.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._close_when_unused()
        self._wake_sender()

    def set_timeout(self, seconds):
        """Limit each socket operation to `seconds`; None removes the limit."""
        self._socket.settimeout(seconds)

    def _feed_unpacker(self):
        self._socket_calls += 1
        try:
            data = self._receive_bytes()
        except (OSError, ValueError, EOFError) as error:
            self.close()
            raise ConnectionClosedError(f"receive failed: {error}") from error
        finally:
            self._socket_calls -= 1
            self._close_when_unused()
        if not data:
            self.close()
            raise ConnectionClosedError("peer closed the connection")
        self._feed(data)

    def _feed(self, data):
        self.received_bytes += len(data)
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            self.close()
            raise FrameTooLargeError(
                "peer sent a frame over the limit of this connection; "
                "check what connects to this port"
            ) from error

    def _receive_bytes(self):
        """Return the next bytes, or `b""` at the end of the stream.

        All that has arrived is received before other greenthreads run, so
        that a message is handled before what an earlier one has started.
        """
        data = None
        if 0 < self._burst_bytes < MAX_BURST_BYTES:
            data = self._socket.receive_arrived(RECEIVE_BYTES)
        if data is None:
            self._burst_bytes = 0
            data = self._socket.recv(self._receive_size)
        if len(data) == RECEIVE_BYTES:
            self._burst_bytes += len(data)
        else:
            self._burst_bytes = 0
        return data

    def _frame(self, message):
        data = encode(message)
        if len(data) > self._max_frame_bytes:
            raise FrameTooLargeError(
                f"message of {len(data)} bytes exceeds the limit of "
                f"{self._max_frame_bytes}; split it"
            )
        if self.compresses and len(data) >= MIN_COMPRESSED_BYTES:
            return _compress_frame(data)
        return data

    def _queue(self, data):
        self._pending.append(data)
        self.pending_bytes += len(data)
        all_pending.add(self, len(data))

    def _has_room(self, count):
        return not self.waits_for_others or all_pending.has_room(
            self.pending_bytes, count
        )

    def _release(self, count):
        self.pending_bytes -= count
        all_pending.remove(self, count)

    def _flush_in_background(self):
        if self._pending and not self._flushing:
            with contextlib.suppress(ConnectionClosedError):
                self._flush()

    def _wait_for_capacity(self, deadline):
        """Wait in turn: on a busy link, others would else always be first."""
        if self._is_full or self._waiting:
            turn = event.Event()
            self._waiting.append(turn)
            try:
                while self._is_full or self._waiting[0] is not turn:
                    turn = self._wait_for_turn(turn, deadline)
            finally:
                self._waiting.remove(turn)
                self._wake_sender()
        if self.closed:
            raise ConnectionClosedError("the connection is closed; dial again")

    def _wait_for_turn(self, turn, deadline):
        """Wait for an Event in `_waiting`; return the one in its place."""
        _check_time(deadline)
        remaining = deadline - time.monotonic()
        turn.wait(timeout=None if remaining == math.inf else max(0, remaining))
        following = event.Event()
        self._waiting[self._waiting.index(turn)] = following
        return following

    @property
    def _is_full(self):
        return self.pending_bytes > MAX_PENDING_BYTES and not self.closed

    def _wake_sender(self):
        """Wake the first sender that waits, if there is capacity."""
        if self._waiting and not self._is_full:
            turn = self._waiting[0]
            if not turn.ready():
                turn.send()

    def _flush(self):
        """Write what is queued now; what follows is written in the background.

        On a busy link, a sender would else write what others queue for as
        long as they do.
        """
        self._flushing = True
        try:
            data = b"".join(self._pending)
            self._pending.clear()
            self._write(data)
            self._release(len(data))
            self._wake_sender()
        except BaseException:
            self._pending.clear()
            self._release(self.pending_bytes)
            raise
        finally:
            self._flushing = False
        if self._pending:
            eventlet.spawn_n(self._flush_in_background)

    def _write(self, data):
        self._socket_calls += 1
        try:
            self._socket.sendall(data)
        except (OSError, ValueError, EOFError) as error:
            self.close()
            raise ConnectionClosedError(f"send failed: {error}") from error
        except BaseException:
            # After a timeout or kill in the middle of a frame, the peer would
            # misread the rest of the stream.
            self.close()
            raise
        finally:
            self._socket_calls -= 1
            self._close_when_unused()
        self.sent_bytes += len(data)

    def _close_when_unused(self):
        if self.closed and not self._socket_calls:
            self._socket.close()


def _check_time(deadline):
    if time.monotonic() >= deadline:
        raise NoRoomError(
            "the queues to peers that do not read are full; "
            "find out why they stand still"
        )


def _set_options(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _compress_frame(data):
    """Return a frame with `data` compressed, or `data` if that is shorter."""
    frame = msgpack.packb(zlib.compress(data))
    return frame if len(frame) < len(data) else data


def _decompress_frame(data, max_frame_bytes):
    """Return the unpacked value of a compressed frame.

    Raises MalformedFrameError.
    """
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(data, max_frame_bytes)
        if not inflater.eof:
            raise MalformedFrameError(
                f"compressed frame is truncated or over {max_frame_bytes} "
                "bytes; run the same release on every host"
            )
        return msgpack.unpackb(frame)
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise MalformedFrameError(
            "peer sent a compressed frame that cannot be decoded; "
            "check what connects to this port"
        ) from error
