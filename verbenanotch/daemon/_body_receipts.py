"""The bodies that the connections of one server receive, bounded together.

A body that keeps others from being received for long gives way to them.
"""

import contextlib
import time

import greenlet
from eventlet import hubs

MAX_RECEIVED_BYTES = 16 * 1024 * 1024
MAX_BODY_SECONDS = 10.0
# A body that is received for less time does not give way.
MIN_BODY_SECONDS = 1.0


class BodyRefusedError(BaseException):
    """A body is not received any further; its request is answered so.

    Applications do not handle it, as they read the body of a request that
    they have not run.
    """

    def __init__(self, *, status, kind, remedy):
        """Store the status, kind and remedy of the answer."""
        super().__init__(f"a body is refused ({kind}): {remedy}")
        self.status = status
        self.kind = kind
        self.remedy = remedy


class BodyReceipts:
    """The bodies that one server receives.

    Of those over 1 MB or in chunks, the requests of `max_large` run at once.
    """

    def __init__(self, *, max_large):
        """Start without bodies."""
        self._max_large = max_large
        # The keys are in the order of their start.
        self._receipts = {}
        self.received_bytes = 0

    @property
    def large_count(self):
        """Number of requests with a large body."""
        return sum(receipt.is_large for receipt in self._receipts)

    @contextlib.contextmanager
    def start(self, *, is_large):
        """Provide the BodyReceipt of a request's body until it has ended.

        Raises BodyRefusedError if there are too many.
        """
        if is_large and self.large_count >= self._max_large:
            self._give_up_longest(lambda receipt: receipt.is_large)
        receipt = BodyReceipt(receipts=self, is_large=is_large)
        self._receipts[receipt] = None
        try:
            yield receipt
        finally:
            receipt.end()

    def remove(self, receipt):
        """Forget a body."""
        self._receipts.pop(receipt, None)

    def add_bytes(self, count):
        """Count bytes that are kept; raise BodyRefusedError."""
        while self.received_bytes + count > MAX_RECEIVED_BYTES:
            self._give_up_longest(lambda receipt: receipt.kept_bytes)
        self.received_bytes += count

    def remove_bytes(self, count):
        """Count bytes that are no longer kept."""
        self.received_bytes -= count

    def _give_up_longest(self, is_eligible):
        """Give up the first body that has had its time."""
        latest = time.monotonic() - MIN_BODY_SECONDS
        for receipt in self._receipts:
            if receipt.started_at > latest:
                break
            if receipt.is_reading and is_eligible(receipt):
                receipt.give_up()
                return
        raise BodyRefusedError(
            status=503, kind="bodies-full", remedy="Send the request later."
        )


class BodyReceipt:
    """One body that is received."""

    def __init__(self, *, receipts, is_large):
        """Take MAX_BODY_SECONDS from now."""
        self._receipts = receipts
        self.is_large = is_large
        self.kept_bytes = 0
        self.started_at = time.monotonic()
        self._reader = None
        self._timer = None
        self._is_given_up = False

    @property
    def is_reading(self):
        """Whether the application waits for bytes of the body."""
        return self._reader is not None

    @contextlib.contextmanager
    def reading(self):
        """Raise BodyRefusedError in this greenthread once the body is late."""
        if self._is_given_up:
            raise _gave_way()
        self._reader = greenlet.getcurrent()
        left = self.started_at + MAX_BODY_SECONDS - time.monotonic()
        self._timer = hubs.get_hub().schedule_call_global(
            max(0.0, left), self._reader.throw, _late()
        )
        try:
            yield
        finally:
            self._reader = None
            # The error of a timer holds the frames that hold the timer.
            timer, self._timer = self._timer, None
            timer.cancel()

    def keep(self, count):
        """Count bytes that are to be kept, or fewer if negative.

        Raises BodyRefusedError if there is no room.
        """
        if count > 0:
            self._receipts.add_bytes(count)
        else:
            self._receipts.remove_bytes(-count)
        self.kept_bytes += count

    def mark_complete(self):
        """Count the bytes no longer: the application has them all."""
        self._receipts.remove_bytes(self.kept_bytes)
        self.kept_bytes = 0

    def give_up(self):
        """Leave room for others; the read in progress ends."""
        self.end()
        self._is_given_up = True
        self._reader, reader = None, self._reader
        if reader is greenlet.getcurrent():
            raise _gave_way()
        self._timer.cancel()
        self._timer = hubs.get_hub().schedule_call_global(
            0, reader.throw, _gave_way()
        )

    def end(self):
        """Forget the body."""
        self.mark_complete()
        self.is_large = False
        self._receipts.remove(self)


def _late():
    return BodyRefusedError(
        status=408,
        kind="body-late",
        remedy=f"Send a body within {MAX_BODY_SECONDS:g} seconds.",
    )


def _gave_way():
    return BodyRefusedError(
        status=408,
        kind="body-gave-way",
        remedy="Send a body at once; this one gave way to others.",
    )
