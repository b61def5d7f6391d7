"""A proxy's stream from one control host."""

import collections
import time

import attrs

from verbenanotch.catalog import Version
from verbenanotch.wire import WireError


@attrs.define(kw_only=True, eq=False)
class ControlConnection:
    """One connected control host; `current` is None until it answered.

    `sent_at` are the times of the announcements and renewals that it has
    not answered yet, in monotonic seconds; it answers each, in order.
    """

    name: str
    connection: object
    current: Version | None = None
    busy_until: float = 0.0
    control_hosts: tuple = ()
    sent_at: collections.deque = attrs.field(factory=collections.deque)

    @property
    def waiting_since(self):
        """The time of the first message without an answer, or None."""
        return self.sent_at[0] if self.sent_at else None

    @property
    def control_bytes(self):
        """The bytes sent and received so far."""
        return self.connection.sent_bytes + self.connection.received_bytes

    def send(self, item):
        """Send a message; close the connection if that fails."""
        try:
            self.connection.send(item)
        except WireError:
            # The greenthread that receives sees the end and dials again.
            self.connection.close()

    def send_lease(self, item):
        """Send an announcement or a renewal, which is answered."""
        self.sent_at.append(time.monotonic())
        self.send(item)
