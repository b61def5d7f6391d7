"""Choose the ordinary requests whose events are recorded."""

# Lines of the log that answered requests may take, a quarter of its budget
# with the lines of their calls.
TRACES_PER_SECOND = 10
MAX_BURST = 50


class TraceSampler:
    """Admit a bounded number of requests a second.

    All requests are traced at a low rate and a share of them at a high one.
    The entry proxy decides for the whole path of a request.
    """

    def __init__(self, *, everything=False, now=0.0):
        """Start with a full burst; `everything` lifts the bound."""
        self._everything = everything
        self._tokens = float(MAX_BURST)
        self._filled_at = now

    def admit(self, now):
        """Return whether to trace a request that arrives at `now` seconds."""
        if self._everything:
            return True
        grown = (now - self._filled_at) * TRACES_PER_SECOND
        self._tokens = min(float(MAX_BURST), self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
