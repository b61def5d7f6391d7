"""A queue for messages that a receiving greenthread sends."""

import collections

import eventlet

from verbenanotch import loop
from verbenanotch.telemetry import metrics
from verbenanotch.wire import FrameTooLargeError, WireError

# Several for each call that a peer may have in flight.
MAX_QUEUED_MESSAGES = 8192


class SendQueue:
    """Send small messages; those that would block, by another greenthread.

    A greenthread that receives must not block on a full send buffer. If both
    peers did so, neither would empty the other's buffer: a deadlock.
    """

    def __init__(self, *, connection):
        """Send on `connection`."""
        self._connection = connection
        self._messages = collections.deque()
        self._sending = False

    def post(self, message, *, kept=None):
        """Send or queue a message; it is dropped if the connection closes.

        `kept` is the Reservation of its bytes, which is released then. The
        connection is closed if `MAX_QUEUED_MESSAGES` wait already: its peer
        reads nothing and yet asks on.
        """
        if not self._sending and self._connection.send_at_once(message):
            _release(kept)
            return
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            metrics.increment("proxy.send_queues_full")
            _release(kept)
            self._connection.close()
            return
        self._messages.append((message, kept))
        if not self._sending:
            self._sending = True
            eventlet.spawn_n(self._send_all)

    def _send_all(self):
        try:
            while self._messages:
                message, kept = self._messages.popleft()
                try:
                    self._connection.send(message)
                except FrameTooLargeError:
                    metrics.increment("proxy.messages_too_large")
                except WireError:
                    raise
                except Exception:
                    loop.report_failure()
                finally:
                    _release(kept)
        except WireError:
            self._drop_all()
        finally:
            self._sending = False

    def _drop_all(self):
        while self._messages:
            _, kept = self._messages.popleft()
            _release(kept)


def _release(kept):
    if kept is not None:
        kept.release()
