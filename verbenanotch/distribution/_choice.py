"""Choose the control host that a proxy takes its updates from."""

import attrs
import xxhash

from verbenanotch.catalog import Version

STALE_SECONDS = 2.0


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
    """Notice a subscribed control host that stays behind another one."""

    since: float | None = None

    def is_stale(self, *, subscribed, others, now):
        """Return whether it has been behind for `STALE_SECONDS`."""
        if all(other <= subscribed for other in others):
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= STALE_SECONDS


def _weight(host, name):
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())
