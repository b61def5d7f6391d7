"""Targets on the proxy's own host: announcements, slots and calls."""

import time

import attrs
import urllib3

from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.proxy import events
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.telemetry import emit

ANNOUNCEMENT_LEASE_SECONDS = 4.0
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)


@attrs.define(kw_only=True)
class LocalTarget:
    """One announced target with its connection pool."""

    record: TargetRecord
    pool: urllib3.HTTPConnectionPool
    expires_at: float
    in_flight: int = 0


class LocalTargets:
    """Keep the host's targets and run calls at them."""

    def __init__(self, *, settings, incarnation, on_change):
        """Call `on_change` whenever the announcement changes."""
        self._settings = settings
        self._incarnation = incarnation
        self._on_change = on_change
        self._sequence = 0
        self.targets_by_id = {}

    def announcement(self):
        """Return the HostRecord that other hosts are to know."""
        host = self._settings.host
        return HostRecord(
            host=host.name,
            availability_zone=host.availability_zone,
            address=host.address,
            peer_port=host.peer_port,
            incarnation=self._incarnation,
            sequence=self._sequence,
            targets=tuple(
                target.record for target in self.targets_by_id.values()
            ),
        )

    def announce(self, record):
        """Take or renew the announcement of a target."""
        expires_at = time.monotonic() + ANNOUNCEMENT_LEASE_SECONDS
        held = self.targets_by_id.get(record.target_id)
        if held is not None and held.record.incarnation == record.incarnation:
            held.expires_at = expires_at
            return
        pool = urllib3.HTTPConnectionPool(
            record.address, record.port, maxsize=record.slots, block=False
        )
        self.targets_by_id[record.target_id] = LocalTarget(
            record=record, pool=pool, expires_at=expires_at
        )
        emit(events.TARGET_ANNOUNCED, target=record.target_id)
        self._changed()

    def drain(self, target_id):
        """Give a target no new work; return False if it is not here."""
        target = self.targets_by_id.get(target_id)
        if target is None:
            return False
        if not target.record.draining:
            target.record = attrs.evolve(target.record, draining=True)
            emit(events.TARGET_DRAINING, target=target_id)
            self._changed()
        return True

    def remove(self, target_id):
        """Forget a target; return False if it is not here."""
        if self.targets_by_id.pop(target_id, None) is None:
            return False
        emit(events.TARGET_LEFT, target=target_id)
        self._changed()
        return True

    def expire(self):
        """Forget the targets whose announcement was not renewed."""
        now = time.monotonic()
        for target_id, target in list(self.targets_by_id.items()):
            if target.expires_at <= now:
                del self.targets_by_id[target_id]
                emit(events.TARGET_EXPIRED, target=target_id)
                self._changed()

    def run(self, call):
        """Run a call at a local target and return its outcome."""
        target = self.targets_by_id.get(call.target_id)
        if target is None:
            return NotRun(reason="target-gone")
        if target.record.draining:
            return NotRun(reason="target-draining")
        if target.in_flight >= target.record.slots:
            return NotRun(reason="target-full")
        target.in_flight += 1
        try:
            return _exchange(target, call)
        finally:
            target.in_flight -= 1

    def _changed(self):
        self._sequence += 1
        self._on_change()


def _exchange(target, call):
    """Send the request to the target and read the whole answer."""
    try:
        response = target.pool.urlopen(
            call.method,
            call.path,
            body=call.body,
            headers=dict(call.headers),
            retries=False,
            redirect=False,
            timeout=call.remaining_ms / 1000,
            preload_content=True,
            decode_content=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return NotRun(reason=f"target-unreachable: {type(error).__name__}")
    except urllib3.exceptions.HTTPError as error:
        return Unknown(reason=f"target-broke-off: {type(error).__name__}")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_HEADERS
    )
    return Answered(
        status=response.status, headers=headers, body=response.data
    )
