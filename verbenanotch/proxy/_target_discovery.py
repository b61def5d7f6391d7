"""Ask the host's target who it is after the proxy has started again.

Until the target's next announcement nobody else can tell: the proxy keeps
nothing on a disk, and after a loss of all processes no other one knows.
"""

import time

import attrs
import eventlet

from verbenanotch.conf import endpoint
from verbenanotch.membership import TargetRecord
from verbenanotch.proxy import events
from verbenanotch.proxy._target_connection import (
    TARGET_FAILURES,
    TargetConnections,
)
from verbenanotch.telemetry import emit

# Each question costs the target a slot for a moment; it announces itself
# within a few seconds in any case.
MAX_QUESTIONS = 3
PAUSE_SECONDS = 0.25
QUESTION_SECONDS = 0.5
POLL_SECONDS = 0.02
OK = 200
# Below that of any announcement, which therefore goes before.
UNKNOWN_INCARNATION = 0


@attrs.frozen(kw_only=True)
class Identity:
    """What a target says of itself when it is asked for its health."""

    target_id: str
    slots: int


class TargetDiscovery:
    """Announce the host's target provisionally, if it is healthy."""

    def __init__(self, *, settings, snapshot_store, local_targets):
        """Ask at `proxy.local_target`; an empty one turns that off.

        The path is the health path of the host's service in the snapshot of
        `snapshot_store`.
        """
        self._names = settings.proxy.headers
        self._address, self._port = endpoint(
            settings.proxy.local_target, address="", port=0
        )
        self._snapshot_store = snapshot_store
        self._local_targets = local_targets

    def run(self):
        """Ask until there is an answer or the target announces itself."""
        asked = 0
        while self._address and asked < MAX_QUESTIONS:
            if self._local_targets.targets_by_id:
                return
            service = self._snapshot_store.snapshot.services_by_name.get(
                self._local_targets.service
            )
            if service is None:
                eventlet.sleep(POLL_SECONDS)
                continue
            asked += 1
            identity = self._ask(service.health_path)
            if identity is not None:
                self._announce(identity)
                return
            eventlet.sleep(PAUSE_SECONDS)

    def _ask(self, path):
        """Return the target's Identity, or None if it is not well."""
        connections = TargetConnections(
            address=self._address, port=self._port, max_idle=0
        )
        started = time.monotonic()
        connection = None
        try:
            with eventlet.Timeout(QUESTION_SECONDS):
                connection = connections.connect(
                    timeout_seconds=QUESTION_SECONDS
                )
                host = f"{self._address}:{self._port}"
                connection.send_request("GET", path, (("Host", host),), b"")
                answer = connection.read_answer("GET")
                return read_identity(
                    answer.status, answer.headers, self._names
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
        finally:
            if connection is not None:
                connection.close()

    def _announce(self, identity):
        # It may have announced itself while it was asked.
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
            )
        )


def read_identity(status, headers, names):
    """Return the Identity in an answer, or None if it names none.

    `names` is a HeaderNames. The load is of the form `running,waiting,slots`.
    """
    target_id = headers.get(names.target_id) if names.target_id else None
    load = headers.get(names.target_load, "") if names.target_load else ""
    slots = load.rpartition(",")[2].strip()
    if status != OK or not target_id or not slots.isdecimal():
        return None
    if int(slots) < 1:
        return None
    return Identity(target_id=target_id, slots=int(slots))
