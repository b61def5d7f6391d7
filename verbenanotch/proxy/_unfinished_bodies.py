"""Bound what callers keep whose bodies have not arrived completely.

The load pattern: callers send their bodies but the end, and stay connected.
Each keeps its bytes, a greenthread, buffers and headers, until its deadline.
Once such bodies leave no room, those without progress give way to others.
"""

import contextlib
import time

import attrs
import eventlet
import greenlet
from eventlet import hubs

from verbenanotch.proxy import events
from verbenanotch.proxy.exceptions import BodiesFullError, BodyGivenUpError
from verbenanotch.telemetry import LinePace, emit, metrics

# A body makes progress with each piece that `read_body` reads.
MIN_STANDSTILL_SECONDS = 1.0
# What others give up may be taken by a third one before it can be used.
MAX_ATTEMPTS = 3


@attrs.define(kw_only=True, eq=False)
class Receipt:
    """An unfinished body: its Reservations and the greenthread that reads it.

    `progressed_at` is in monotonic seconds. `timer` is set once the body has
    been given up.
    """

    body: object
    overhead: object
    greenthread: object
    progressed_at: float
    timer: object = None


class UnfinishedBodies:
    """The bodies of callers' requests that have not arrived completely."""

    def __init__(self, *, budget, monotonic=time.monotonic):
        """Take the bytes from `budget`, a BodyBudget."""
        self._budget = budget
        self._monotonic = monotonic
        self._pace = LinePace()
        # Those that have been without progress for longest come first.
        self._receipts_by_id = {}

    def __len__(self):
        """Return the number of unfinished bodies that were not given up."""
        return len(self._receipts_by_id)

    @contextlib.contextmanager
    def receive(self, reservation):
        """Count the body of a Reservation as unfinished in a `with` block.

        It is read by the present greenthread. Raises BodiesFullError, and
        BodyGivenUpError within the block, but never behind it.
        """
        receipt = Receipt(
            body=reservation,
            overhead=self._budget.reserve_overhead(),
            greenthread=greenlet.getcurrent(),
            progressed_at=self._monotonic(),
        )
        try:
            self.take(receipt.overhead, self._budget.overhead_bytes)
            self._budget.begin_receipt(reservation)
            self._receipts_by_id[id(reservation)] = receipt
            yield
        finally:
            self._receipts_by_id.pop(id(reservation), None)
            if receipt.timer is not None:
                receipt.timer.cancel()
            self._budget.end_receipt(reservation)
            receipt.overhead.release()

    def check(self, reservation, count):
        """Check that `count` bytes could be taken; others may give way.

        Raises BodiesFullError.
        """
        self._use(reservation, count, reservation.check)

    def take(self, reservation, count):
        """Take bytes of a Reservation; others may give way.

        Raises BodiesFullError.
        """
        self._use(reservation, count, reservation.take)

    def record_progress(self, reservation):
        """Note that a piece of a body has arrived."""
        receipt = self._receipts_by_id.pop(id(reservation), None)
        if receipt is not None:
            receipt.progressed_at = self._monotonic()
            self._receipts_by_id[id(reservation)] = receipt

    def _use(self, reservation, count, use):
        for _ in range(MAX_ATTEMPTS):
            try:
                use(count)
            except BodiesFullError:
                if not self._make_room(reservation, count):
                    raise
            else:
                return
            # Those that were given up release their bytes in the next turn.
            eventlet.sleep(0)
        use(count)

    def _make_room(self, reservation, count):
        """Give up the bodies without progress that leave enough room.

        Returns whether there are enough; if not, none is given up.
        """
        shortage = reservation.shortage(count)
        chosen = []
        for receipt in self._standing_still():
            if not shortage:
                break
            if receipt.body is reservation:
                continue
            rest = shortage.without(receipt.body, receipt.overhead)
            if rest != shortage:
                chosen.append(receipt)
                shortage = rest
        if shortage:
            return False
        for receipt in chosen:
            self._give_up(receipt)
        if chosen:
            self._report(len(chosen))
        return True

    def _standing_still(self):
        latest = self._monotonic() - MIN_STANDSTILL_SECONDS
        for receipt in self._receipts_by_id.values():
            if receipt.progressed_at > latest:
                return
            yield receipt

    def _give_up(self, receipt):
        """End the read in progress, unless it ends before the next turn."""
        del self._receipts_by_id[id(receipt.body)]
        receipt.timer = hubs.get_hub().schedule_call_global(
            0,
            receipt.greenthread.throw,
            BodyGivenUpError(
                "the body made no progress, and others needed its room; "
                "send it without a break"
            ),
        )

    def _report(self, count):
        metrics.increment("proxy.unfinished_bodies_ended", count)
        event = events.BODIES_UNFINISHED
        if self._pace.admit(event.number, self._monotonic()):
            emit(event, count=count, unfinished=len(self))
