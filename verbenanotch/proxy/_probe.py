"""Probe local targets and report their health and load to the peers."""

import json
import time

from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._messages import TargetReport
from verbenanotch.proxy._outcome import Answered, Call
from verbenanotch.telemetry import metrics

PROBE_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 16 * 1024
FIRST_ERROR_STATUS = 400
REPORT_INTERVAL_SECONDS = 5.0
# In percentage points. A smaller change is not reported.
MIN_LOAD_CHANGE_PERCENT = 10
MAX_LOAD_PERCENT = 1000


class TargetProbe:
    """Probe each local target and report changes.

    A probe needs no slot, so a full target can still report its load.
    """

    def __init__(self, *, snapshot_store, local_targets, on_report):
        """Read the services' probe paths from `snapshot_store`.

        `on_report` is called with each TargetReport to send.
        """
        self._snapshot_store = snapshot_store
        self._local_targets = local_targets
        self._on_report = on_report
        self._last_reports_by_target_id = {}

    def probe_all(self):
        """Probe every target once."""
        targets_by_id = dict(self._local_targets.targets_by_id)
        for target_id in (
            self._last_reports_by_target_id.keys() - targets_by_id
        ):
            del self._last_reports_by_target_id[target_id]
        services = self._snapshot_store.snapshot.services_by_name
        for target in targets_by_id.values():
            service = services.get(target.record.service)
            if service is not None:
                self._report_if_changed(
                    self._probe(target, service), time.monotonic()
                )

    def _report_if_changed(self, report, now):
        """Report changes, and every target again at regular intervals."""
        last_report, last_reported_at = self._last_reports_by_target_id.get(
            report.target_id, (None, 0.0)
        )
        if (
            last_report is not None
            and now - last_reported_at < REPORT_INTERVAL_SECONDS
            and last_report.healthy == report.healthy
            and abs(last_report.load_percent - report.load_percent)
            < MIN_LOAD_CHANGE_PERCENT
        ):
            return
        self._last_reports_by_target_id[report.target_id] = (report, now)
        self._on_report(report)

    def _probe(self, target, service):
        health = _get(target, service.health_path)
        load = _get(target, service.load_path)
        healthy = _is_success(health)
        if not healthy:
            metrics.increment("proxy.probes_failed")
        return TargetReport(
            target_id=target.record.target_id,
            load_percent=_load_percent(load),
            healthy=healthy,
        )


def _get(target, path):
    call = Call(
        request_id="probe",
        service=target.record.service,
        target_id=target.record.target_id,
        method="GET",
        path=path,
        headers=(),
        body=b"",
        remaining_ms=int(PROBE_TIMEOUT_SECONDS * 1000),
        idempotent=True,
    )
    return exchange(
        target.connections,
        call,
        deadline=time.monotonic() + PROBE_TIMEOUT_SECONDS,
        cancellation=Cancellation(),
        max_body_bytes=MAX_ANSWER_BYTES,
    )


def _is_success(outcome):
    return (
        isinstance(outcome, Answered) and outcome.status < FIRST_ERROR_STATUS
    )


def _load_percent(outcome):
    """Return the reported load in percent, or 0 if it is invalid."""
    if not _is_success(outcome):
        return 0
    try:
        document = json.loads(outcome.body)
        percent = int(100 * document["in_flight"] / document["slots"])
    except (
        ValueError,
        KeyError,
        TypeError,
        ArithmeticError,
        RecursionError,
    ):
        return 0
    return min(MAX_LOAD_PERCENT, max(0, percent))
