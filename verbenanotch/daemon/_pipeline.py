"""The order of the requests on one connection, and of their answers.

A caller may send further requests before the first is answered (pipelining,
RFC 9112, section 9.3). Answers are sent in the order of the requests. Safe
requests run side by side; any other request runs alone, since section 9.3.2
allows parallel processing only if all of the requests have safe methods.

A request behind an answer that closes the connection counts as not read.
Therefore the connection is closed only by the answer to the last request that
was started, and no request is started once it is to be closed.
"""

import collections

import attrs


@attrs.define(kw_only=True, eq=False)
class Turn:
    """One request, from its start until its answer is sent.

    `closes` means that the connection can't be used after the answer.
    """

    is_concurrent: bool
    answer: object = None
    closes: bool = False


@attrs.frozen(kw_only=True)
class NextAnswer:
    """The next answer to send; `closes` is set for the last one."""

    answer: object
    closes: bool


class Pipeline:
    """Decide when requests start and which answer is sent next."""

    def __init__(self, *, max_concurrent, max_unsent_bytes):
        """Run at most `max_concurrent` requests at once.

        None is started while answers of more than `max_unsent_bytes` wait for
        earlier ones or for a slow caller.
        """
        self._max_concurrent = max_concurrent
        self._max_unsent_bytes = max_unsent_bytes
        self._turns = collections.deque()
        self._unsent_bytes = 0
        self.is_closing = False

    def __len__(self):
        """Return the number of requests whose answer was not taken yet."""
        return len(self._turns)

    @property
    def is_idle(self):
        """Whether every answer has been sent."""
        return not self._turns and not self._unsent_bytes

    @property
    def is_last_ready(self):
        """Whether the only answer that was not taken yet is ready."""
        return len(self._turns) == 1 and self._turns[0].answer is not None

    def may_start(self, *, is_concurrent):
        """Return whether the next request may start now.

        `is_concurrent` means that it is safe to run beside others.
        """
        if self.is_closing:
            return False
        if self.is_idle:
            return True
        return (
            is_concurrent
            and all(turn.is_concurrent for turn in self._turns)
            and len(self._turns) < self._max_concurrent
            and self._unsent_bytes <= self._max_unsent_bytes
        )

    def start(self, *, is_concurrent):
        """Return the Turn of the next request, which has to be started."""
        turn = Turn(is_concurrent=is_concurrent)
        self._turns.append(turn)
        return turn

    def finish(self, turn, answer, *, size, closes=False):
        """Record the answer to a request, which has `size` bytes."""
        turn.answer = answer
        turn.closes = closes
        self._unsent_bytes += size

    def close(self):
        """Start no more requests; the last answer closes the connection."""
        self.is_closing = True

    def take(self):
        """Remove and return the NextAnswer, or None if it isn't ready."""
        if not self._turns or self._turns[0].answer is None:
            return None
        turn = self._turns.popleft()
        self.is_closing = self.is_closing or turn.closes
        return NextAnswer(
            answer=turn.answer, closes=self.is_closing and not self._turns
        )

    def mark_sent(self, size):
        """Record that `size` bytes of answers were sent or dropped."""
        self._unsent_bytes -= size
