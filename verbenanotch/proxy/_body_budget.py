"""Bound the memory of the answers that a proxy is receiving.

The load pattern: a target sends bytes without end in the bodies of many
answers at once. Each is below the limit of a single body.
"""

import contextlib

from verbenanotch.proxy.exceptions import AnswersTooLargeError


class BodyBudget:
    """Bytes that all answers in progress may take together."""

    def __init__(self, *, max_bytes):
        """Allow `max_bytes` in total."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def receiving(self):
        """Yield a function that takes bytes for one answer.

        It raises AnswersTooLargeError if there are not enough left. All bytes
        are given back at the end.
        """
        taken_bytes = 0

        def take(count):
            nonlocal taken_bytes
            if self.used_bytes + count > self._max_bytes:
                raise AnswersTooLargeError(
                    "the answers of the host's targets take over "
                    f"{self._max_bytes} bytes together; raise "
                    "proxy.max_receiving_bytes, or find out why they are large"
                )
            self.used_bytes += count
            taken_bytes += count

        try:
            yield take
        finally:
            self.used_bytes -= taken_bytes
