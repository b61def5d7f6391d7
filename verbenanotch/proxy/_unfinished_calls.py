"""Calls that ended for the proxy before their target had answered them.

The load pattern: the caller leaves, or its deadline passes, while a target
works on a request that crashes it a moment later. No call is in flight at the
crash, and the caller repeats the request at another proxy.
"""

import collections

import attrs

# For this time after its deadline, a target may still work on a call, and a
# target that crashed may have started again without having announced itself.
MAX_OVERRUN_SECONDS = 10.0
# Bounds the notice of a crash, which has a record for each of them.
MAX_CALLS = 64


class UnfinishedCalls:
    """The latest unfinished calls of one target, one for each fingerprint.

    Times are in monotonic seconds. Headers and bodies are not kept.
    """

    def __init__(self, *, max_calls=MAX_CALLS):
        """Keep at most `max_calls`; the oldest ones are dropped first."""
        self._max_calls = max_calls
        self._calls_by_fingerprint = collections.OrderedDict()

    def add(self, call, *, deadline, now):
        """Remember a call that ended at `now`."""
        expires_at = max(deadline, now) + MAX_OVERRUN_SECONDS
        self._calls_by_fingerprint[call.fingerprint] = (
            attrs.evolve(call, headers=(), body=b""),
            expires_at,
        )
        self._calls_by_fingerprint.move_to_end(call.fingerprint)
        if len(self._calls_by_fingerprint) > self._max_calls:
            self._calls_by_fingerprint.popitem(last=False)

    def has_any(self, now):
        """Return whether the target may still work on one of the calls."""
        return any(
            now < expires_at
            for _, expires_at in self._calls_by_fingerprint.values()
        )

    def take_all(self, now):
        """Return the calls that the target may still work on; forget all."""
        calls = [
            call
            for call, expires_at in self._calls_by_fingerprint.values()
            if now < expires_at
        ]
        self._calls_by_fingerprint.clear()
        return calls
