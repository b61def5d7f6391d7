"""Run the role that the settings name until a signal stops it."""

import contextlib
import gc
import signal

import greenlet
from eventlet import event, hubs

from verbenanotch import loop
from verbenanotch.conf import parse_endpoint
from verbenanotch.daemon import events
from verbenanotch.daemon._failures import log_unhandled
from verbenanotch.daemon._http import HttpServer
from verbenanotch.daemon._interfaces import Interfaces
from verbenanotch.daemon._loop_lag import LoopLag
from verbenanotch.daemon._memory import MemoryLog
from verbenanotch.daemon._reload import watch_settings
from verbenanotch.daemon.exceptions import StartError, StopRequested
from verbenanotch.telemetry import (
    MetricsInterface,
    configure,
    emit,
    metrics,
)

EXIT_START_FAILED = 3
# Requests free almost all of their objects by reference counts; collections
# of the young generations would find little and cost latency.
GC_THRESHOLDS = (20_000, 20, 20)


def run(settings, *, interfaces=None, reload=None):
    """Run the daemon until SIGTERM or SIGINT; return its exit code.

    The code is 0, or 3 if an address or the data directory cannot be used.
    `interfaces` replaces the project's own Interfaces. `reload` returns the
    result of loading the settings again; it is called on SIGHUP and
    periodically.
    """
    telemetry = settings.telemetry
    configure(
        host=settings.host.name,
        log_format=telemetry.log_format,
        event_file=telemetry.event_file or None,
        level=telemetry.log_level,
    )
    if telemetry.statsd_address:
        metrics.configure(
            host=telemetry.statsd_address,
            port=telemetry.statsd_port,
            prefix=f"verbenanotch.{settings.host.name}",
        )
    log_unhandled(hubs.get_hub())
    stop_request = _StopRequest()
    try:
        with stop_request.ends_waits():
            _serve_metrics(telemetry)
            role = _make_role(settings, interfaces or Interfaces())
            role.start()
    except StopRequested:
        emit(events.STOPPING)
        emit(events.STOPPED)
        return 0
    except (StartError, OSError) as error:
        emit(
            events.START_FAILED,
            kind=getattr(error, "kind", "address"),
            error=str(error),
        )
        return EXIT_START_FAILED
    # The command disables the collector before its imports. Objects made at
    # startup live until exit, so the collector can skip them.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    emit(events.STARTED, role=settings.host.role)
    loop.spawn_lasting(LoopLag().run)
    loop.spawn_lasting(MemoryLog().run)
    if reload is not None:
        watch_settings(role=role, reload=reload, settings=settings)
    stop_request.wait()
    emit(events.STOPPING)
    role.stop()
    emit(events.STOPPED)
    return 0


def _serve_metrics(telemetry):
    """Serve the metrics if the settings name an address for them."""
    if telemetry.metrics_listen:
        address, port = parse_endpoint(
            telemetry.metrics_listen, address="", port=0
        )
        HttpServer(
            address=address,
            port=port,
            application=MetricsInterface().application,
        ).start()


def _make_role(settings, interfaces):
    """Return the role; import only its code, to save memory."""
    if settings.host.role == "control":
        from verbenanotch.daemon._control import ControlHost

        return ControlHost(settings=settings, interfaces=interfaces)
    from verbenanotch.daemon._proxy import ProxyHost

    return ProxyHost(settings=settings, interfaces=interfaces)


class _StopRequest:
    """SIGTERM or SIGINT.

    One that arrives during the start is kept until the start has ended, or
    waits for a port or a disk. A process that waits serves nobody.
    """

    def __init__(self):
        """Handle the signals from now on."""
        self._requested = event.Event()
        self._waiting = None
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def wait(self):
        """Return once one of the signals has arrived."""
        self._requested.wait()

    @contextlib.contextmanager
    def ends_waits(self):
        """Raise StopRequested in a wait of this greenthread in the block."""
        self._waiting = greenlet.getcurrent()
        try:
            yield
        finally:
            self._waiting = None

    def _on_signal(self, number, frame):
        hubs.get_hub().schedule_call_global(0, self._deliver)

    def _deliver(self):
        """Run in the hub, thus only when no greenthread goes on."""
        if self._waiting is not None:
            self._waiting.throw(StopRequested)
        elif not self._requested.ready():
            self._requested.send()
