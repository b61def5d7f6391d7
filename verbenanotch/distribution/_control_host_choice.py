"""Choose the control host that a proxy takes its updates from."""

import attrs
import xxhash

from verbenanotch.catalog import Version

# With the second between two renewals, and the time to subscribe elsewhere, a
# version is in force within two seconds also where the control host that sends
# updates has stopped doing so.
STALE_SECONDS = 0.5
# Above the delay between distant regions and the longest stall of a control
# host's loop, with room for an election within the same two seconds.
UNANSWERED_SECONDS = 0.4


@attrs.frozen(kw_only=True)
class Candidate:
    """A connected control host; `busy_until` is in monotonic seconds."""

    name: str
    current: Version
    busy_until: float = 0.0


def choose_control_host(candidates, *, host, at_least, now):
    """Return the name of the one to subscribe to, or None.

    Those behind `at_least` come last. Among equals, rendezvous hashing
    spreads the proxies of a zone evenly and keeps each one's choice.
    """
    free = [item for item in candidates if item.busy_until <= now]
    best = max(
        free,
        key=lambda item: (item.current >= at_least, _weight(host, item.name)),
        default=None,
    )
    return None if best is None else best.name


@attrs.define(kw_only=True)
class StaleWatch:
    """Notice a subscribed control host that stays behind another one.

    The load pattern is a storm of changes while control hosts are cut off,
    restarted or slow: each of them tells its version once a second, and the
    subscribed one by its updates too.
    """

    since: float | None = None

    def is_stale(self, *, subscribed, others, now):
        """Return whether it has been behind for `STALE_SECONDS`."""
        if all(other <= subscribed for other in others):
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= STALE_SECONDS


def is_silent(*, waiting_since, others_waiting_since, now):
    """Return whether a control host has stopped answering and others not.

    `waiting_since` is when the first unanswered message was sent to it, or
    None, in monotonic seconds; `others_waiting_since` the same of others.
    If all are silent it is the own host that is cut off.
    """
    if waiting_since is None or now - waiting_since < UNANSWERED_SECONDS:
        return False
    return any(
        since is None or now - since < UNANSWERED_SECONDS
        for since in others_waiting_since
    )


def _weight(host, name):
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())
