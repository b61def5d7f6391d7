"""Discovery of the host's target after a restart of the proxy.

The proxy stores nothing on disk, and if all processes were lost, no other
host knows the target either. Until its next announcement, the proxy can only
request the identity from the target itself.
"""

import time

import attrs
import eventlet

from verbenanotch.conf import parse_endpoint
from verbenanotch.membership import TargetRecord
from verbenanotch.proxy import events
from verbenanotch.proxy._announcement_checks import MAX_SLOTS
from verbenanotch.proxy._health_request import request_health
from verbenanotch.proxy._target_connection import TARGET_FAILURES
from verbenanotch.telemetry import emit

# Limited because each request briefly occupies a slot of the target, which
# announces itself within a few seconds in any case.
MAX_ATTEMPTS = 3
RETRY_SECONDS = 0.25
REQUEST_TIMEOUT_SECONDS = 0.5
SNAPSHOT_POLL_SECONDS = 0.02
OK_STATUS = 200
# Position of the slots in the load header.
SLOTS_FIELD = 2
# Lower than that of any announcement, so that announcements take precedence.
UNKNOWN_INCARNATION = 0


@attrs.frozen(kw_only=True)
class TargetIdentity:
    """Identity and slots that a target reports in a health answer."""

    target_id: str
    slots: int


class TargetDiscovery:
    """Announce the host's target provisionally if it is healthy."""

    def __init__(self, *, settings, snapshot_store, local_targets):
        """Send requests to `proxy.local_target`; do nothing if it is not set.

        Their path is the health path of the host's service in the snapshot of
        `snapshot_store`.
        """
        self._header_names = settings.proxy.headers
        self._address, self._port = parse_endpoint(
            settings.proxy.local_target, address="", port=0
        )
        self._snapshot_store = snapshot_store
        self._local_targets = local_targets

    def run(self):
        """Try until the target has been identified or announced.

        Gives up after `MAX_ATTEMPTS` requests.
        """
        attempts = 0
        while self._address and attempts < MAX_ATTEMPTS:
            if self._local_targets.targets_by_id:
                return
            service = self._snapshot_store.snapshot.services_by_name.get(
                self._local_targets.service
            )
            if service is None:
                eventlet.sleep(SNAPSHOT_POLL_SECONDS)
                continue
            attempts += 1
            identity = self._request_identity(service.health_path)
            if identity is not None:
                self._announce(identity)
                return
            eventlet.sleep(RETRY_SECONDS)

    def _request_identity(self, path):
        """Return the TargetIdentity, or None if the target is unhealthy."""
        started = time.monotonic()
        try:
            answer = request_health(
                address=self._address,
                port=self._port,
                path=path,
                timeout_seconds=REQUEST_TIMEOUT_SECONDS,
            )
        except (eventlet.Timeout, *TARGET_FAILURES) as error:
            emit(
                events.TARGET_NOT_FOUND,
                address=self._address,
                port=self._port,
                error=f"{type(error).__name__}: {error}",
                milliseconds=round((time.monotonic() - started) * 1000, 3),
            )
            return None
        return parse_identity(
            answer.status, answer.headers, self._header_names
        )

    def _announce(self, identity):
        # The target may have announced itself during the request.
        if self._local_targets.targets_by_id:
            return
        self._local_targets.announce(
            TargetRecord(
                target_id=identity.target_id,
                service=self._local_targets.service,
                address=self._address,
                port=self._port,
                slots=identity.slots,
                incarnation=UNKNOWN_INCARNATION,
            ),
            is_confirmed=True,
        )


def parse_identity(status, headers, header_names):
    """Return the TargetIdentity in an answer, or None if there is none.

    `header_names` is a HeaderNames. The load header has the form
    `running,waiting,slots` or `running,waiting,slots,pace`.
    """
    target_id = (
        headers.get(header_names.target_id) if header_names.target_id else None
    )
    load = (
        headers.get(header_names.target_load, "")
        if header_names.target_load
        else ""
    )
    fields = load.split(",")
    # Without a comma, the one figure is taken as the slots.
    slots = fields[min(SLOTS_FIELD, len(fields) - 1)].strip()
    if status != OK_STATUS or not target_id or not slots.isdecimal():
        return None
    if not 1 <= int(slots) <= MAX_SLOTS:
        return None
    return TargetIdentity(target_id=target_id, slots=int(slots))
