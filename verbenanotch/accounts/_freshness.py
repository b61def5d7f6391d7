"""Track whether a proxy's version is the newest one."""

import math

from verbenanotch.accounts._check import Freshness
from verbenanotch.catalog import NO_VERSION


class VersionFreshness:
    """Records the versions that control hosts report in lease renewals.

    Times are in monotonic seconds. `own_version()` returns the version that
    the proxy uses.
    """

    def __init__(self, *, own_version):
        """Start without any report."""
        self._own_version = own_version
        self._newest = NO_VERSION
        self._confirmed_at = -math.inf

    def record(self, version, sent_at):
        """Record the version of a control host.

        `sent_at` is when the renewal that it answers was sent, or None if
        the control host is not in contact with a quorum. Such an answer
        confirms nothing, nor does that of a control host that is behind.
        """
        self._newest = max(self._newest, version)
        own = self._own_version()
        if sent_at is not None and version == own >= self._newest:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def at(self, now):
        """Return the Freshness at this time."""
        return Freshness(
            own=self._own_version(),
            newest=self._newest,
            age_seconds=now - self._confirmed_at,
        )
