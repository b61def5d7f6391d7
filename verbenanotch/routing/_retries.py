"""Whether a failed attempt is repeated.

Three bounds, each of which holds without the others: attempts of one call,
a share of the recent requests to a service, and a mark on the answer that
retries were used up below. With the mark, only the hop next to the failing
target retries, so that levels do not multiply.
"""

import dataclasses

import attrs

BUDGET_SHARE = 0.1
MAX_TOKENS = 100.0
MIN_RETRIES_PER_SECOND = 0.02
MAX_IDLE_TOKENS = 2.0
MILLISECONDS_PER_SECOND = 1000
BACKOFF_BASE_MS = 5
BACKOFF_MAX_MS = 250


@attrs.frozen(kw_only=True)
class AttemptContext:
    """What travels with a call, also through targets that call on.

    `attempt` counts from 1. `attempts_left` bounds the attempts of this hop
    and of all below it. `deadline` is in monotonic seconds of this host; it
    travels as the milliseconds that are left.
    """

    attempt: int
    attempts_left: int
    deadline: float

    def remaining_ms(self, now):
        """Return the milliseconds left, at least 0."""
        left = (self.deadline - now) * MILLISECONDS_PER_SECOND
        return max(0, int(left))

    def for_next_hop(self):
        """Return the call as the next level down gets it.

        An attempt that is itself a retry leaves a single attempt to every
        level below, so that levels add up instead of multiplying.
        """
        left = 1 if self.attempt > 1 else self.attempts_left
        return attrs.evolve(self, attempt=1, attempts_left=left)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """Repeat the call after a delay, on another target."""

    context: AttemptContext
    delay_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRetry:
    """Pass the failure up, marked so that no hop above retries.

    `reason` is `not-idempotent`, `exhausted-below`, `attempts`, `deadline`
    or `budget`.
    """

    reason: str
    retries_exhausted: bool = True


class RetryBudget:
    """Tokens for the retries to one service.

    Each first attempt adds `share` of a token and each retry takes a whole
    one. A service with few requests gets a slow refill up to
    `MAX_IDLE_TOKENS`.
    """

    def __init__(self, *, share=BUDGET_SHARE):
        """Start with the tokens of an idle service."""
        self._share = share
        self._updated_at = None
        self._max_tokens = MAX_TOKENS
        self.tokens = MAX_IDLE_TOKENS

    def limit(self, max_tokens):
        """Keep at most so many tokens: this host's part of a burst."""
        self._max_tokens = max(1.0, min(MAX_TOKENS, max_tokens))
        self.tokens = min(self._max_tokens, self.tokens)

    def record_first_attempt(self, now):
        """Note a first attempt."""
        self._refill(now)
        self.tokens = min(self._max_tokens, self.tokens + self._share)

    def withdraw(self, now):
        """Take a token for a retry; return whether there was one."""
        self._refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now):
        if self._updated_at is not None and self.tokens < MAX_IDLE_TOKENS:
            seconds = max(0.0, now - self._updated_at)
            self.tokens = min(
                MAX_IDLE_TOKENS,
                self.tokens + seconds * MIN_RETRIES_PER_SECOND,
            )
        self._updated_at = now


def decide_retry(
    context,
    *,
    may_have_run,
    idempotent,
    next_hop_exhausted,
    budget,
    now,
    random,
    expected_seconds=0.0,
):
    """Return Retry or NoRetry for a failed attempt.

    `may_have_run` is False only where the target was provably not touched;
    then a call that is not idempotent may go to another target, too.
    `next_hop_exhausted` tells that the failure came marked. `expected_seconds`
    is how long an attempt takes.
    """
    if may_have_run and not idempotent:
        return NoRetry(reason="not-idempotent")
    if next_hop_exhausted:
        return NoRetry(reason="exhausted-below")
    if context.attempts_left <= 1:
        return NoRetry(reason="attempts")
    delay_ms = _backoff_ms(context.attempt, random)
    delay = delay_ms / MILLISECONDS_PER_SECOND
    if now + delay + expected_seconds >= context.deadline:
        return NoRetry(reason="deadline")
    if not budget.withdraw(now):
        return NoRetry(reason="budget")
    again = attrs.evolve(
        context,
        attempt=context.attempt + 1,
        attempts_left=context.attempts_left - 1,
    )
    return Retry(context=again, delay_ms=delay_ms)


def _backoff_ms(attempt, random):
    """Return a delay with full jitter that doubles by attempt."""
    bound = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2**attempt)
    return int(random.random() * bound)
