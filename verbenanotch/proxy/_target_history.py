"""What a proxy knows of targets that it no longer has."""

import time

import attrs

from verbenanotch.proxy import events
from verbenanotch.telemetry import emit, metrics

# Of each kind of memory; the oldest is forgotten.
MAX_REMEMBERED = 64
# For this time after a target has left, reports from before may arrive.
MAX_ANNOUNCEMENT_DELAY_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Departure:
    """A target that left, at `left_at` in monotonic seconds."""

    record: object
    left_at: float

    @property
    def is_recent(self):
        """Whether reports from before the departure may still arrive."""
        age_seconds = time.monotonic() - self.left_at
        return age_seconds < MAX_ANNOUNCEMENT_DELAY_SECONDS


class TargetHistory:
    """Decide which announcements are from before a target's end.

    A target that has left, or whose address another one has taken over, stays
    out for its whole incarnation: whatever arrives of it was sent before. One
    that expired or seems to have crashed may be running; later announcements
    of it are accepted.
    """

    def __init__(self):
        """Start without targets."""
        self._departures_by_id = {}
        self._departures_by_address = {}
        self._removed_orders_by_id = {}
        self._exits_by_id = {}
        self._drained_incarnations_by_id = {}

    def add_exit(self, target_id, record):
        """Record that a target has said that it exits.

        `record` is its record, None if it was not announced: after a restart
        of the proxy, a target can leave before its announcement comes. Also
        a record may be that of an earlier start, while announcements of the
        last one are on their way.
        """
        wall_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        if record is not None:
            self.add_departure(record)
        if record is None or _is_time(record.incarnation, wall_ms):
            self._remember(
                self._exits_by_id, target_id, (time.monotonic(), wall_ms)
            )

    def add_departure(self, record):
        """Record that a target has left for its whole incarnation."""
        earlier = self._departures_by_id.get(record.target_id)
        if earlier is not None and (
            earlier.record.incarnation > record.incarnation
        ):
            return
        departure = Departure(record=record, left_at=time.monotonic())
        self._remember(self._departures_by_id, record.target_id, departure)
        address = (record.address, record.port)
        self._remember(self._departures_by_address, address, departure)

    def add_removal(self, target_id, order):
        """Reject announcements up to `order` of a target."""
        self._remember(self._removed_orders_by_id, target_id, order)

    def add_drain(self, record):
        """Drain a target again if it returns in the same incarnation."""
        self._remember(
            self._drained_incarnations_by_id,
            record.target_id,
            record.incarnation,
        )

    def was_drained(self, record):
        """Return whether a target was drained in its incarnation."""
        drained = self._drained_incarnations_by_id.get(record.target_id)
        return drained == record.incarnation

    def is_outdated(self, record, sequence):
        """Return whether an announcement is from before a target's end."""
        departure = self._departures_by_id.get(record.target_id)
        if departure is not None and (
            record.incarnation <= departure.record.incarnation
        ):
            return True
        if self._is_before_departure_there(record):
            return True
        removed_order = self._removed_orders_by_id.get(record.target_id)
        if removed_order is not None and (
            (record.incarnation, sequence) <= removed_order
        ):
            return True
        return self._is_before_exit(record)

    def recent_departures(self):
        """Return the records of targets that left lately, as draining.

        The other hosts are told of them, so that a departure is still known
        when this proxy is restarted.
        """
        return tuple(
            attrs.evolve(departure.record, draining=True)
            for departure in self._departures_by_id.values()
            if departure.is_recent
        )

    def _is_before_departure_there(self, record):
        """Return whether a later target has left the address lately."""
        departure = self._departures_by_address.get(
            (record.address, record.port)
        )
        return (
            departure is not None
            and departure.is_recent
            and record.incarnation < departure.record.incarnation
        )

    def _is_before_exit(self, record):
        """Return whether a target has said that it exits since its start.

        That of a delayed announcement is before the exit, and that of the
        target's next start is after it.
        """
        said = self._exits_by_id.get(record.target_id)
        if said is None:
            return False
        said_at_seconds, said_at_wall_ms = said
        is_recent = (
            time.monotonic() - said_at_seconds < MAX_ANNOUNCEMENT_DELAY_SECONDS
        )
        return is_recent and record.incarnation <= said_at_wall_ms

    def _remember(self, values_by_key, key, value):
        """Store the newest value last; forget the oldest over the bound."""
        values_by_key.pop(key, None)
        values_by_key[key] = value
        if len(values_by_key) > MAX_REMEMBERED:
            oldest = next(iter(values_by_key))
            del values_by_key[oldest]
            metrics.increment("proxy.target_ends_forgotten")
            emit(events.TARGET_END_FORGOTTEN, target=str(oldest))


def _is_time(incarnation, wall_ms):
    """Return whether an incarnation is a time, and not a count of starts."""
    return incarnation > wall_ms // 2
