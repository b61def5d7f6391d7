"""Choose the control host that a proxy subscribes to."""

import attrs
import xxhash

from verbenanotch.catalog import Version

# A version must be active within two seconds even if the subscribed control
# host no longer sends updates: the second between two renewals, this time and
# the time to subscribe to another control host must add up to less than that.
STALE_AFTER_SECONDS = 0.5
# Longer than the delay between distant regions and the longest stall of a
# control host's event loop, and short enough to leave time for an election
# within the same two seconds.
ANSWER_TIMEOUT_SECONDS = 0.4


@attrs.frozen(kw_only=True)
class Candidate:
    """A connected control host, its version and when it may be chosen.

    `busy_until` is in monotonic seconds. `is_in_own_zone` is whether it is in
    the availability zone of the proxy.
    """

    name: str
    current: Version
    busy_until: float = 0.0
    is_in_own_zone: bool = False


def choose_control_host(candidates, *, host, at_least, now):
    """Return the name of the control host to subscribe to, or None.

    Busy ones are left out; those whose version is lower than `at_least` are
    the last choice. Where hosts of several availability zones serve a zone,
    those of the own one come first: updates then don't cross between zones,
    and go on arriving when the zone is cut off. Rendezvous hashing over `host`
    spreads proxies evenly and keeps the choice of each stable.
    """
    available = [
        candidate for candidate in candidates if candidate.busy_until <= now
    ]
    best = max(
        available,
        key=lambda candidate: (
            candidate.current >= at_least,
            candidate.is_in_own_zone,
            _weight(host, candidate.name),
        ),
        default=None,
    )
    return None if best is None else best.name


@attrs.define(kw_only=True)
class StaleDetector:
    """Detect that the subscribed control host stays behind another one.

    This happens with many changes in a short time while control hosts are
    disconnected, restarted or slow. Each control host reports its version once
    a second, the subscribed one also with its updates. `behind_since` is
    when it fell behind, in monotonic seconds, None if it is not behind.
    """

    behind_since: float | None = None

    def is_stale(self, *, subscribed, others, now):
        """Return whether it has been behind for STALE_AFTER_SECONDS.

        `subscribed` is the version of the subscribed control host, `others`
        are those of the others.
        """
        if all(other <= subscribed for other in others):
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since >= STALE_AFTER_SECONDS


def is_unresponsive(*, unanswered_since, others_unanswered_since, now):
    """Return whether a control host doesn't answer while another one does.

    `unanswered_since` is when the first unanswered message was sent to it, in
    monotonic seconds, or None; `others_unanswered_since` has the same for the
    others. If none of them answers, the own host is disconnected.
    """
    if (
        unanswered_since is None
        or now - unanswered_since < ANSWER_TIMEOUT_SECONDS
    ):
        return False
    return any(
        since is None or now - since < ANSWER_TIMEOUT_SECONDS
        for since in others_unanswered_since
    )


def _weight(host, name):
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())
