"""One stream of messages over a TCP connection."""

import collections
import contextlib
import itertools
import socket
import zlib

import msgpack
from eventlet import event

from verbenanotch.wire._codec import decode, encode
from verbenanotch.wire.exceptions import (
    ConnectionClosedError,
    FrameTooLargeError,
    MalformedFrameError,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_PENDING_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
# Documents of routes shrink to a fifth; smaller messages hardly shrink.
MIN_COMPRESSED_BYTES = 1024

_incarnations = itertools.count(1)


class Connection:
    """Send and receive messages; safe for many greenthreads of one loop.

    `peer_name` and `purpose` are set by the handshake. `incarnation` is
    unique among the connections of this process. Only one greenthread may
    receive. Longer messages leave compressed if `compresses` is set; they
    are recognized in any case.
    """

    def __init__(self, *, sock, max_frame_bytes=MAX_FRAME_BYTES):
        """Take over a connected socket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes, use_list=True
        )
        self._max_frame_bytes = max_frame_bytes
        self._pending = collections.deque()
        self._pending_bytes = 0
        self._flushing = False
        self._drained = None
        self._users = 0
        self.closed = False
        self.peer_name = ""
        self.purpose = ""
        self.compresses = False
        self.incarnation = next(_incarnations)
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, item):
        """Queue a message and write what is queued.

        Blocks while more than `MAX_PENDING_BYTES` wait for a slow peer.
        Raises ConnectionClosedError, or FrameTooLargeError without sending
        anything.
        """
        data = encode(item)
        if len(data) > self._max_frame_bytes:
            raise FrameTooLargeError(
                f"message of {len(data)} bytes is over the bound of "
                f"{self._max_frame_bytes}; split it"
            )
        if self.compresses and len(data) >= MIN_COMPRESSED_BYTES:
            data = _compressed(data)
        self._wait_for_room()
        self._pending.append(data)
        self._pending_bytes += len(data)
        if not self._flushing:
            self._flush()

    def receive(self):
        """Return the next message; block until there is one.

        Raises ConnectionClosedError, FrameTooLargeError or
        MalformedFrameError; the connection is closed after any of them.
        """
        try:
            value = self.receive_plain()
            if isinstance(value, bytes):
                value = _decompressed(value, self._max_frame_bytes)
            return decode(value)
        except MalformedFrameError:
            self.close()
            raise

    def receive_plain(self):
        """Return the next frame's unpacked value; see `receive`."""
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                self._feed()
            except Exception as error:
                self.close()
                raise MalformedFrameError(
                    "peer sent bytes that are not msgpack; "
                    "check what connects to this port"
                ) from error

    def send_plain(self, value):
        """Write one plain msgpack value, for the handshake."""
        self._write(msgpack.packb(value))

    def close(self):
        """Close the socket and wake every waiting greenthread."""
        if self.closed:
            return
        self.closed = True
        # The loop never wakes a greenthread whose descriptor was closed, so
        # that the shutdown wakes them and the last one closes it.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._close_when_unused()
        self._wake_waiting()

    def set_timeout(self, seconds):
        """Bound each socket operation; None removes the bound."""
        self._socket.settimeout(seconds)

    def _feed(self):
        self._users += 1
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except (OSError, ValueError, EOFError) as error:
            self.close()
            raise ConnectionClosedError(f"receive failed: {error}") from error
        finally:
            self._users -= 1
            self._close_when_unused()
        if not data:
            self.close()
            raise ConnectionClosedError("peer closed the connection")
        self.received_bytes += len(data)
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            self.close()
            raise FrameTooLargeError(
                f"peer sent a frame over {self._max_frame_bytes} bytes; "
                "check what connects to this port"
            ) from error

    def _wait_for_room(self):
        while self._pending_bytes > MAX_PENDING_BYTES and not self.closed:
            if self._drained is None:
                self._drained = event.Event()
            self._drained.wait()
        if self.closed:
            raise ConnectionClosedError("the connection is closed; dial again")

    def _flush(self):
        self._flushing = True
        try:
            while self._pending:
                data = b"".join(self._pending)
                self._pending.clear()
                self._write(data)
                self._pending_bytes -= len(data)
                self._wake_waiting()
        finally:
            self._flushing = False

    def _write(self, data):
        self._users += 1
        try:
            self._socket.sendall(data)
        except (OSError, ValueError, EOFError) as error:
            self.close()
            raise ConnectionClosedError(f"send failed: {error}") from error
        except BaseException:
            # A timeout or kill in mid-frame leaves a stream that the peer
            # would misread.
            self.close()
            raise
        finally:
            self._users -= 1
            self._close_when_unused()
        self.sent_bytes += len(data)

    def _close_when_unused(self):
        if self.closed and not self._users:
            self._socket.close()

    def _wake_waiting(self):
        if self._drained is not None:
            drained, self._drained = self._drained, None
            drained.send()


def _compressed(data):
    """Return a frame that holds the bytes of another one, if it is shorter."""
    frame = msgpack.packb(zlib.compress(data))
    return frame if len(frame) < len(data) else data


def _decompressed(data, max_frame_bytes):
    """Return the value of the frame in a compressed one.

    Raises MalformedFrameError.
    """
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(data, max_frame_bytes)
        if not inflater.eof:
            raise MalformedFrameError(
                f"compressed frame is cut short or over {max_frame_bytes} "
                "bytes; run the same release on every host"
            )
        return msgpack.unpackb(frame)
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise MalformedFrameError(
            "peer sent a compressed frame that cannot be read; "
            "check what connects to this port"
        ) from error
