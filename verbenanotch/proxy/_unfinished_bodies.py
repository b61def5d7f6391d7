"""Bound what callers keep whose bodies have not arrived completely.

The load pattern: callers send their bodies but the end, and stay connected.
Each keeps its bytes, a greenthread, buffers and headers, until its deadline.
"""

import contextlib


class UnfinishedBodies:
    """The bodies of callers' requests that have not arrived completely."""

    def __init__(self, *, budget):
        """Take the bytes from `budget`, a BodyBudget."""
        self._budget = budget

    @contextlib.contextmanager
    def receive(self, reservation):
        """Count the body of a Reservation as unfinished in a `with` block.

        Raises BodiesFullError.
        """
        overhead = self._budget.reserve_overhead()
        try:
            overhead.take(self._budget.overhead_bytes)
            self._budget.begin_receipt(reservation)
            yield
        finally:
            self._budget.end_receipt(reservation)
            overhead.release()
