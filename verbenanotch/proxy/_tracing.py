"""Choose the answered requests whose events are logged."""

# The entry proxy logs two lines for a traced request with one call, CALL_ENDED
# and REQUEST_ENDED. At 10 requests per second these are 20 of the 50 lines per
# second of the log's budget, so that traced requests leave room for other
# events.
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
