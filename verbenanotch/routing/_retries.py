"""Decide whether a failed attempt is retried.

Three independent bounds apply: the attempts of one call, a retry budget that
is a share of the recent requests to a service, and a mark on failures. The
mark means that a later hop has already used up its retries: only the hop next
to the failing target retries, so that the retries of several hops do not
multiply.
"""

import dataclasses

import attrs

# Tokens added for each first attempt.
BUDGET_SHARE = 0.1
MAX_TOKENS = 100.0
# Tokens added over time, for services with few requests.
IDLE_REFILL_PER_SECOND = 0.02
MAX_IDLE_TOKENS = 2.0
MILLISECONDS_PER_SECOND = 1000
BACKOFF_BASE_MS = 5
BACKOFF_MAX_MS = 250


@attrs.frozen(kw_only=True)
class AttemptContext:
    """The limits of a call's attempts.

    A target passes them on with the calls that it makes itself. `attempt`
    counts from 1. `attempts_left` bounds the attempts of this hop, with the
    current one, and those of each later hop. `deadline` is in monotonic
    seconds of this host; it is sent as the remaining milliseconds.
    """

    attempt: int
    attempts_left: int
    deadline: float

    def remaining_ms(self, now):
        """Return the remaining milliseconds, at least 0."""
        remaining_ms = (self.deadline - now) * MILLISECONDS_PER_SECOND
        return max(0, int(remaining_ms))

    def for_next_hop(self):
        """Return the context that is sent to the next hop.

        An attempt that is itself a retry leaves a single attempt to each
        later hop, so that the attempts of the hops add up instead of
        multiplying.
        """
        attempts_left = 1 if self.attempt > 1 else self.attempts_left
        return attrs.evolve(self, attempt=1, attempts_left=attempts_left)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """Retry the call with `context` on another target after a delay."""

    context: AttemptContext
    delay_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRetry:
    """Return the failure to the caller, marked so that no earlier hop retries.

    `reason` is `not-idempotent`, `exhausted-below`, `attempts`, `deadline`
    or `budget`.
    """

    reason: str
    retries_exhausted: bool = True


class RetryBudget:
    """Token bucket for the retries to one service.

    Each first attempt adds `share` of a token and each retry removes one
    token. So that a service with few requests can be retried too, tokens are
    also refilled slowly over time, up to `MAX_IDLE_TOKENS`.
    """

    def __init__(self, *, share=BUDGET_SHARE):
        """Start with `MAX_IDLE_TOKENS` tokens."""
        self._share = share
        self._updated_at = None
        self._max_tokens = MAX_TOKENS
        self.tokens = MAX_IDLE_TOKENS

    def limit(self, max_tokens):
        """Set the maximum number of tokens, which bounds a burst of retries.

        A burst to one service is divided among its hosts, so `max_tokens` is
        this host's share of it.
        """
        self._max_tokens = max(1.0, min(MAX_TOKENS, max_tokens))
        self.tokens = min(self._max_tokens, self.tokens)

    def record_first_attempt(self, now):
        """Add the share of a token for a first attempt."""
        self._refill(now)
        self.tokens = min(self._max_tokens, self.tokens + self._share)

    def withdraw(self, now):
        """Remove a token for a retry; return False if there is none."""
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
                self.tokens + seconds * IDLE_REFILL_PER_SECOND,
            )
        self._updated_at = now


def decide_retry(
    context,
    *,
    may_have_run,
    idempotent,
    is_final,
    budget,
    now,
    random,
    expected_seconds=0.0,
):
    """Return Retry or NoRetry for a failed attempt.

    `may_have_run` is False only if the attempt provably did not reach the
    target; then also a call that is not idempotent may go to another target.
    `is_final` is True if another attempt would fail for the same reason, for
    example because a later hop has used up its retries.
    `now` is in monotonic seconds, `expected_seconds` is the expected duration
    of an attempt.
    """
    if may_have_run and not idempotent:
        return NoRetry(reason="not-idempotent")
    if is_final:
        return NoRetry(reason="exhausted-below")
    if context.attempts_left <= 1:
        return NoRetry(reason="attempts")
    delay_ms = _backoff_ms(context.attempt, random)
    delay_seconds = delay_ms / MILLISECONDS_PER_SECOND
    if now + delay_seconds + expected_seconds >= context.deadline:
        return NoRetry(reason="deadline")
    if not budget.withdraw(now):
        return NoRetry(reason="budget")
    next_context = attrs.evolve(
        context,
        attempt=context.attempt + 1,
        attempts_left=context.attempts_left - 1,
    )
    return Retry(context=next_context, delay_ms=delay_ms)


def _backoff_ms(attempt, random):
    """Return a delay with full jitter; its maximum doubles per attempt."""
    max_delay_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2**attempt)
    return int(random.random() * max_delay_ms)
