"""First announcements, which a proxy that has just started can't judge.

A target's announcement may arrive seconds late, after the target has left.
Who has left is in the memory of its proxy and of the control hosts alone, and
all of them may have been killed. For as long as an announcement can be late, a
new process therefore asks a target itself before it uses it.
"""

import time

import attrs
import eventlet

from verbenanotch.membership import TargetRecord
from verbenanotch.proxy import events
from verbenanotch.proxy._health_request import request_health
from verbenanotch.proxy._target_connection import TARGET_FAILURES
from verbenanotch.proxy._target_history import MAX_ANNOUNCEMENT_DELAY_SECONDS
from verbenanotch.telemetry import emit, metrics

REQUEST_TIMEOUT_SECONDS = 1.0
# Each request briefly occupies a slot of the target.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
SNAPSHOT_POLL_SECONDS = 0.02
OK_STATUS = 200


@attrs.frozen(kw_only=True)
class FirstAnnouncement:
    """An announcement of a target that this process does not know.

    `expires_at` is in monotonic seconds.
    """

    record: TargetRecord
    sequence: int
    expires_at: float

    @property
    def order(self):
        """Sort key that increases with each announcement of the target."""
        return (self.record.incarnation, self.sequence)


class FirstAnnouncements:
    """Keep first announcements until their targets say that they serve.

    A target says so by an answer with status 200 to a health request that has
    its own id. Without `headers.target_id`, answers name no target, and
    nothing is kept.
    """

    def __init__(self, *, settings, snapshot_store, on_confirmed):
        """Call `on_confirmed` with each FirstAnnouncement to apply.

        The health paths are those of the services in the snapshot of
        `snapshot_store`; until it has the service, the announcement is kept.
        """
        self._id_header = settings.proxy.headers.target_id
        self._snapshot_store = snapshot_store
        self._on_confirmed = on_confirmed
        self._started_at = time.monotonic()
        self._announcements_by_id = {}

    @property
    def are_kept(self):
        """Whether this process may lack the end of a target by now."""
        age_seconds = time.monotonic() - self._started_at
        return bool(self._id_header) and (
            age_seconds < MAX_ANNOUNCEMENT_DELAY_SECONDS
        )

    def add(self, announcement):
        """Keep a FirstAnnouncement in place of an earlier one of its target.

        Returns False, and ignores it, if a later one is kept.
        """
        target_id = announcement.record.target_id
        kept = self._announcements_by_id.get(target_id)
        if kept is not None and announcement.order < kept.order:
            return False
        self._announcements_by_id[target_id] = announcement
        if kept is None:
            eventlet.spawn_n(self._confirm, target_id)
        return True

    def take(self, target_id):
        """Forget and return the announcement of a target, or None."""
        return self._announcements_by_id.pop(target_id, None)

    def _confirm(self, target_id):
        """Ask a target until it serves or its announcement is gone."""
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            announcement = self._announcements_by_id.get(target_id)
            if announcement is None:
                return
            if announcement.expires_at <= time.monotonic():
                self.take(target_id)
                return
            health_path = self._health_path(announcement.record.service)
            if health_path is None:
                eventlet.sleep(SNAPSHOT_POLL_SECONDS)
                continue
            serves = self._serves(announcement.record, health_path)
            if self._announcements_by_id.get(target_id) is not announcement:
                continue
            if serves:
                self.take(target_id)
                self._on_confirmed(announcement)
                return
            eventlet.sleep(retry_seconds)
            retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)

    def _health_path(self, service_name):
        services = self._snapshot_store.snapshot.services_by_name
        service = services.get(service_name)
        return None if service is None else service.health_path

    def _serves(self, record, health_path):
        """Return whether a target says that it serves."""
        try:
            answer = request_health(
                address=record.address,
                port=record.port,
                path=health_path,
                timeout_seconds=REQUEST_TIMEOUT_SECONDS,
            )
        except (eventlet.Timeout, *TARGET_FAILURES) as error:
            self._report(record, error=f"{type(error).__name__}: {error}")
            return False
        answering_id = answer.headers.get(self._id_header, "")
        if answer.status == OK_STATUS and answering_id == record.target_id:
            return True
        self._report(record, status=answer.status, answering=answering_id)
        return False

    def _report(self, record, **fields):
        metrics.increment("proxy.targets_unconfirmed")
        emit(events.TARGET_UNCONFIRMED, target=record.target_id, **fields)
