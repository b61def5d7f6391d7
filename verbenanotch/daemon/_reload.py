"""Take over changed settings while the daemon runs."""

import signal

import attrs
import eventlet
from eventlet import hubs

from verbenanotch.daemon import events
from verbenanotch.documents import Invalid, Valid
from verbenanotch.telemetry import emit

# A file that is replaced without a signal is noticed within this time.
CHECK_SECONDS = 1.0


class SettingsWatch:
    """Load the settings again and hand valid changes to the role."""

    def __init__(self, *, role, reload, settings):
        """Start from the settings in force."""
        self._role = role
        self._reload = reload
        self._settings = settings
        self._problems = ()

    def check(self):
        """Load the settings once; faulty ones leave the old in force."""
        match self._reload():
            case Valid(value=settings):
                self._problems = ()
                if settings != self._settings:
                    self._take(settings)
            case Invalid(problems=problems):
                if problems != self._problems:
                    emit(
                        events.RELOAD_REFUSED,
                        problems=[str(problem) for problem in problems],
                    )
                self._problems = problems

    def _take(self, settings):
        changed = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._role.reconfigure(settings)
        emit(events.RELOADED, sections=changed)


def watch_settings(*, role, reload, settings):
    """Check the settings on SIGHUP and now and then."""
    watch = SettingsWatch(role=role, reload=reload, settings=settings)

    def on_signal(number, frame):
        hubs.get_hub().schedule_call_global(0, eventlet.spawn_n, watch.check)

    signal.signal(signal.SIGHUP, on_signal)
    eventlet.spawn(_check_forever, watch)


def _check_forever(watch):
    while True:
        eventlet.sleep(CHECK_SECONDS)
        watch.check()
