"""Choose the answered requests whose events are logged."""

# Answered requests that are logged, one line each. Together with the lines of
# their calls, they may use a quarter of the log's budget.
TRACED_REQUESTS_PER_SECOND = 10
MAX_BURST_REQUESTS = 50


class TraceSampler:
    """Admit a limited number of requests per second.

    At a low request rate all requests are traced, at a high rate a share of
    them. The entry proxy decides for the whole path of a request.
    """

    def __init__(self, *, trace_all=False, now=0.0):
        """Start with a full burst; `trace_all` removes the limit.

        `now` is in monotonic seconds.
        """
        self._trace_all = trace_all
        self._tokens = float(MAX_BURST_REQUESTS)
        self._refilled_at = now

    def admit(self, now):
        """Return whether to trace a request that arrives at `now` seconds."""
        if self._trace_all:
            return True
        refilled = (now - self._refilled_at) * TRACED_REQUESTS_PER_SECOND
        self._tokens = min(float(MAX_BURST_REQUESTS), self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
