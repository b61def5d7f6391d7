"""A proxy's connection to one control host."""

import collections
import time

import attrs

from verbenanotch.catalog import Version
from verbenanotch.wire import WireError


@attrs.define(kw_only=True, eq=False)
class ControlConnection:
    """The connection to one control host.

    `current` is the control host's version, None until its first answer;
    it is not chosen before `busy_until`. `availability_zone` is its zone,
    empty until it has sent it. `control_hosts` is the last list of
    KnownControlHosts that it sent. `sent_at` has the times of the
    announcements and renewals without an answer yet: each is answered, in
    order. Times are in monotonic seconds.
    """

    name: str
    connection: object
    current: Version | None = None
    busy_until: float = 0.0
    availability_zone: str = ""
    control_hosts: tuple = ()
    sent_at: collections.deque = attrs.field(factory=collections.deque)

    @property
    def unanswered_since(self):
        """Return the time of the first unanswered message, or None."""
        return self.sent_at[0] if self.sent_at else None

    @property
    def control_bytes(self):
        """Return the bytes sent and received so far."""
        return self.connection.sent_bytes + self.connection.received_bytes

    def send(self, message):
        """Send a message; close the connection if that fails."""
        try:
            self.connection.send(message)
        except WireError:
            # The receiving greenthread notices the close and reconnects.
            self.connection.close()

    def send_lease(self, message):
        """Send an announcement or a renewal and record its time."""
        self.sent_at.append(time.monotonic())
        self.send(message)
